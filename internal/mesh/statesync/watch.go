package statesync

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// watcher describes how one part of the store is scanned and then watched for changes.
type watcher struct {
	part   part
	prefix string
	// wait returns the longest time of the next watch.
	wait func() time.Duration
	// valid reports whether an open watch may go on, or after how long to ask again. A nil func means that it always may.
	valid func() (time.Duration, bool)
	// coalesceDelay returns the pause between two watches; nil means none.
	coalesceDelay func() time.Duration
	// apply applies rows to the local state, which then is that of a revision; complete reports whether they are all rows
	// of the part.
	apply func(rows []platform.Row, through platform.Revision, complete bool)
}

// watchPolicy keeps the policy up to date.
func (s *Syncer) watchPolicy(ctx context.Context) {
	s.watch(ctx, watcher{
		part: policyPart, prefix: s.config.Keys.PolicyPrefix, wait: s.policyWait, valid: s.longWatchValid, apply: s.applyPolicy,
	})
}

// rosterCoalesceDelay returns the pause between two watches of the roster, which grows with the number of hosts that watch
// it.
func (s *Syncer) rosterCoalesceDelay() time.Duration {
	hosts := s.View().Hosts()
	watching := len(hosts)
	if _, relayed := s.relays.pick(time.Now(), s.View()); !relayed {
		domains := map[id.FailureDomain]bool{}
		for _, r := range hosts {
			domains[r.Domain] = true
		}
		watching = min(watching, watchersPerDomain*len(domains))
	}
	return min(max(time.Duration(watching)*coalesceDelayPerHost, minCoalesceDelay), maxCoalesceDelay)
}

// watch is the state of a watcher between its calls.
type watch struct {
	watcher
	// scanned is set once the part was read whole; since is the revision to watch from then. A separate flag is needed
	// because revision zero is valid: it is the revision of an empty store.
	scanned bool
	since   platform.Revision
	backoff time.Duration
	// recovering is set after a failure until a call succeeds.
	recovering bool
}

// watch scans a part and then watches it for changes until ctx ends.
func (s *Syncer) watch(ctx context.Context, part watcher) {
	w := &watch{watcher: part, backoff: initialBackoff}
	for ctx.Err() == nil {
		s.step(ctx, w)
	}
}

// step makes one call to the store, and waits for the next one to be due.
func (s *Syncer) step(ctx context.Context, w *watch) {
	asked := time.Now()
	through, err := s.scanOrWatch(ctx, w)
	switch {
	case err == nil:
		w.scanned, w.since, w.backoff, w.recovering = true, through, initialBackoff, false
		s.confirm(w.part, asked)
		s.markReachable(w.part)
		if w.coalesceDelay != nil {
			clock.Sleep(ctx, w.coalesceDelay())
		}
		return
	case ctx.Err() != nil:
		return
	case errors.Is(err, errWatchInvalid):
		return
	case errors.Is(err, platform.ErrHistoryLost):
		s.config.Log.Info().Str("part", string(w.part)).Uint64("since", uint64(w.since)).Msg("sync: store lost its change history; scanning again")
		w.scanned = false
		return
	}
	s.markUnreachable(w.part, err)
	w.recovering = true
	// The jitter of half the backoff keeps the daemons from returning to a recovered store all at once.
	if s.waitToRetry(ctx, w.part, w.backoff/2+rand.N(w.backoff/2)) {
		w.backoff = min(2*w.backoff, maxBackoff)
	}
}

// waitToRetry waits before a part is retried and reports false when ctx ended first. While the policy cannot be read
// either, retries for the roster are held back until the policy can be read again: to refuse a call costs the store as
// much as to serve it.
func (s *Syncer) waitToRetry(ctx context.Context, p part, wait time.Duration) bool {
	recovered := s.policyRecovered()
	if p != rosterPart || recovered == nil {
		return clock.Sleep(ctx, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, maxRosterDeferral)
	defer cancel()
	select {
	case <-recovered:
		return true
	case <-ctx.Done():
		return errors.Is(ctx.Err(), context.DeadlineExceeded)
	}
}

// policyRecovered returns a channel that is closed when the policy can be read again, or nil if it can be read now.
func (s *Syncer) policyRecovered() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeStatuses[policyPart].recovered
}

// scanOrWatch scans a part if it was not scanned yet, and otherwise waits for its next changes. It returns the revision
// to watch from.
func (s *Syncer) scanOrWatch(ctx context.Context, w *watch) (platform.Revision, error) {
	if !w.scanned {
		return s.scanAll(ctx, w.watcher)
	}
	wait := recoveryWatchWait
	if !w.recovering {
		wait = w.wait()
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	if w.valid != nil && wait == WatchWait {
		go w.endWhenInvalid(ctx, end)
	}
	rows, err := s.config.Store.Watch(ctx, w.prefix, w.since, wait)
	if err != nil {
		if errors.Is(context.Cause(ctx), errWatchInvalid) {
			err = errWatchInvalid
		}
		return 0, err
	}
	if len(rows.Rows) > 0 || w.part == rosterPart {
		w.apply(rows.Rows, rows.Through, false)
	}
	return rows.Through, nil
}

// errWatchInvalid ends a watch that may no longer stay open.
var errWatchInvalid = errors.New("nothing else confirms the state any more")

// endWhenInvalid ends an open watch once it is no longer valid.
func (w *watch) endWhenInvalid(ctx context.Context, end context.CancelCauseFunc) {
	for {
		again, valid := w.valid()
		if !valid {
			end(errWatchInvalid)
			return
		}
		if !clock.Sleep(ctx, again) {
			return
		}
	}
}

// scanAll reads all rows of a part. It returns the revision of the first page, so that the first watch also returns the
// changes that were made between two pages.
func (s *Syncer) scanAll(ctx context.Context, w watcher) (platform.Revision, error) {
	var all []platform.Row
	var first platform.Revision
	after := ""
	for {
		rows, err := s.scanPage(ctx, w.prefix, after)
		if err != nil {
			return 0, err
		}
		if after == "" {
			first = rows.Through
		}
		all = append(all, rows.Rows...)
		if !rows.More || len(rows.Rows) == 0 {
			w.apply(all, first, true)
			return first, nil
		}
		after = rows.Rows[len(rows.Rows)-1].Key
	}
}

// scanPage reads one page.
func (s *Syncer) scanPage(ctx context.Context, prefix, after string) (platform.Rows, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.config.Store.Scan(ctx, prefix, after, scanLimit)
}

// applyPolicy applies rows of the operator.
func (s *Syncer) applyPolicy(rows []platform.Row, _ platform.Revision, _ bool) {
	for _, row := range rows {
		if row.Key == s.config.Keys.PolicyKey && row.Exists() {
			s.setPolicy(row.Value, "store")
		}
	}
}

// applyRoster applies rows of hosts. It wakes the publisher if the store does not hold the current record of this host.
func (s *Syncer) applyRoster(rows []platform.Row, through platform.Revision, complete bool) {
	s.mu.Lock()
	s.rosterThrough = max(s.rosterThrough, through)
	if len(rows) == 0 && !complete {
		s.mu.Unlock()
		return
	}
	if complete {
		s.rosterWhole = true
		s.records = map[id.HostID]storedRecord{}
		// Which rows were deleted is not known; those that ask with an earlier revision get the whole roster.
		clear(s.removed)
		s.relayFloor = through
	}
	for _, row := range rows {
		s.applyRecord(row)
	}
	s.rebuildView()
	own, found := s.records[s.config.Self]
	restore := complete && !s.restored
	found = found && own.record.Host != ""
	s.restored = s.restored || complete
	republish := s.own.set && (!found || own.record != s.own.record)
	s.mu.Unlock()
	if restore && found {
		s.config.OnRestored(own.record)
	}
	if republish {
		s.wakePublisher()
	}
	s.notify()
}

// applyRecord applies the row of one host. The caller must hold s.mu.
func (s *Syncer) applyRecord(row platform.Row) {
	host := id.HostID(strings.TrimPrefix(row.Key, s.config.Keys.HostPrefix))
	if !row.Exists() {
		s.removeRecord(host, row.Revision)
		return
	}
	var record roster.Record
	if err := json.Unmarshal(row.Value, &record); err != nil || record.Host != host || !record.Valid(time.Now()) {
		s.ignoreRecord(host, row, err)
		return
	}
	s.setRecord(host, storedRecord{record: record, revision: row.Revision})
}

// ignoreRecord skips an invalid row of a host, which another writer may have left. The last valid record stays in use,
// except that of this host: it is forgotten, so that the publisher writes it again. The caller must hold s.mu.
func (s *Syncer) ignoreRecord(host id.HostID, row platform.Row, cause error) {
	if host == s.config.Self {
		s.records[host] = storedRecord{revision: row.Revision}
	}
	if s.ignored[host] == row.Revision {
		return
	}
	if len(s.ignored) >= maxIgnoredRecords {
		clear(s.ignored)
	}
	s.ignored[host] = row.Revision
	s.config.Metrics.RecordIgnored()
	s.config.Log.Warn().AnErr("cause", cause).Str("key", shortened(row.Key)).Msg("sync: ignored an invalid host record")
}

// maxIgnoredRecords bounds the invalid rows that are remembered, so that each is logged once.
const maxIgnoredRecords = 1024

// maxLoggedKey bounds a key in a log line, in bytes.
const maxLoggedKey = 128

// shortened returns the beginning of a key for a log line.
func shortened(key string) string {
	return key[:min(len(key), maxLoggedKey)]
}

// rebuildView builds the view from the records. The caller must hold s.mu.
func (s *Syncer) rebuildView() {
	records := make([]roster.Record, 0, len(s.records))
	for host, r := range s.records {
		if r.record.Host != "" && (host != s.config.Self || !s.own.set) {
			records = append(records, r.record)
		}
	}
	if s.own.set && !s.own.remove {
		// The record to publish is at least as new as the one in the store.
		records = append(records, s.own.record)
	}
	if s.rosterWhole {
		s.view = roster.NewView(records)
	} else {
		s.view = roster.NewPartialView(records)
	}
}
