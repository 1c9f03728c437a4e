package statesync

import (
	"context"
	"encoding/json"
	"errors"
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
	// wait is the longest time of a watch.
	wait time.Duration
	// coalesceDelay returns the pause between two watches; nil means none.
	coalesceDelay func() time.Duration
	// apply applies rows to the local state, which then is that of a revision; complete reports whether they are all rows
	// of the part.
	apply func(rows []platform.Row, through platform.Revision, complete bool)
}

// policyWatcher describes the operator's part of the store.
func (s *Syncer) policyWatcher() watcher {
	return watcher{part: policyPart, prefix: s.config.Keys.PolicyPrefix, wait: WatchWait, apply: s.applyPolicy}
}

// watchPolicy scans the policy, and then watches it as long as other hosts rely on this one, until ctx ends. A watch that is
// woken brings a change at once. One that is not proves nothing, so that confirmPolicy asks beside it.
func (s *Syncer) watchPolicy(ctx context.Context) {
	w := &watch{watcher: s.policyWatcher(), backoff: backoff{longest: maxBackoff}}
	for ctx.Err() == nil {
		switch {
		case !w.scanned:
			s.step(ctx, w)
		case s.relaysPolicy():
			s.watchWhileRelay(ctx, w)
		default:
			s.awaitNews(ctx)
		}
	}
}

// watchWhileRelay makes one call to the store, which ends when this host is no longer to watch the policy.
func (s *Syncer) watchWhileRelay(ctx context.Context, w *watch) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && s.relaysPolicy() {
			s.awaitNews(ctx)
		}
		cancel()
	}()
	s.step(ctx, w)
}

// awaitNews waits until the policy, its confirmation or the roster changes, for at most confirmShare.
func (s *Syncer) awaitNews(ctx context.Context) {
	s.mu.Lock()
	news := s.news
	s.mu.Unlock()
	timeout := time.NewTimer(s.share(confirmShare))
	defer timeout.Stop()
	select {
	case <-news:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// relaysPolicy reports whether this host is to watch the policy: it is a relay, or finds none. Before the roster is known it
// may be one of many.
func (s *Syncer) relaysPolicy() bool {
	s.mu.Lock()
	whole := s.rosterWhole
	s.mu.Unlock()
	_, relayed := s.relays.pick(time.Now(), s.View())
	return whole && !relayed
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
	backoff backoff
	// recovering is set after a failure until a call succeeds.
	recovering bool
}

// step makes one call to the store, and waits for the next one to be due.
func (s *Syncer) step(ctx context.Context, w *watch) {
	asked := time.Now()
	through, err := s.scanOrWatch(ctx, w)
	switch {
	case err == nil:
		first := !w.scanned
		w.scanned, w.since, w.recovering = true, through, false
		w.backoff.reset()
		s.confirm(w.part, asked)
		s.markReachable(w.part)
		// A host that has just read the roster can follow a relay at once.
		if _, relayed := s.relays.pick(time.Now(), s.View()); w.coalesceDelay != nil && !(first && relayed) {
			clock.Sleep(ctx, w.coalesceDelay())
		}
		return
	case ctx.Err() != nil:
		return
	case errors.Is(err, platform.ErrHistoryLost):
		s.config.Log.Info().Str("part", string(w.part)).Uint64("since", uint64(w.since)).Msg("sync: store lost its change history; scanning again")
		w.scanned = false
		return
	}
	s.markUnreachable(w.part, err)
	w.recovering = true
	s.waitToRetry(ctx, w.part, w.backoff.next())
}

// waitToRetry waits before a part is retried. While the policy cannot be read
// either, retries for the roster are held back until the policy can be read again: to refuse a call costs the store as
// much as to serve it.
func (s *Syncer) waitToRetry(ctx context.Context, p part, wait time.Duration) {
	recovered := s.policyRecovered()
	if p != rosterPart || recovered == nil {
		clock.Sleep(ctx, wait)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxRosterDeferral)
	defer cancel()
	select {
	case <-recovered:
	case <-ctx.Done():
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
	wait := w.wait
	if w.recovering {
		wait = recoveryWatchWait
	}
	return s.watchOnce(ctx, w.watcher, w.since, wait)
}

// watchOnce waits for changes of a part since a revision and applies them. It returns the revision to watch from.
func (s *Syncer) watchOnce(ctx context.Context, w watcher, since platform.Revision, wait time.Duration) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	rows, err := s.config.Store.Watch(ctx, w.prefix, since, wait)
	if err != nil {
		return 0, err
	}
	w.apply(rows.Rows, rows.Through, false)
	return rows.Through, nil
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
func (s *Syncer) applyPolicy(rows []platform.Row, through platform.Revision, complete bool) {
	for _, row := range rows {
		if row.Key == s.config.Keys.PolicyKey && row.Exists() {
			s.setPolicy(row.Value, "store")
		}
	}
	s.applyEvacuation(rows, through, complete)
	s.mu.Lock()
	defer s.mu.Unlock()
	if complete || through > s.policyThrough {
		s.policyThrough = through
	}
	if complete {
		s.scannedPolicy.Do(func() { close(s.policyScanned) })
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
	_, found := s.records[s.config.Self]
	first := complete && !s.restored
	s.restored = s.restored || complete
	pass := s.takeOver(first)
	s.mu.Unlock()
	pass()
	if first {
		if s.config.OnRecordRead != nil {
			s.config.OnRecordRead(found)
		}
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

// rebuildView builds the view from the records and wakes the polls that wait for news. The caller must hold s.mu.
func (s *Syncer) rebuildView() {
	s.announceNews()
	records := make([]roster.Record, 0, len(s.records))
	for host, r := range s.records {
		if r.record.Host != "" && (host != s.config.Self || !s.own.set) {
			records = append(records, r.record)
		}
	}
	if s.own.set {
		// The record to publish is at least as new as the one in the store.
		records = append(records, s.own.record)
	}
	if s.rosterWhole {
		s.view = roster.NewView(records)
	} else {
		s.view = roster.NewPartialView(records)
	}
	s.view = s.view.WithEvacuation(s.evacuation.domains, s.evacuation.known || s.evacuationAssumed)
}
