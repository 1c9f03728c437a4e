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

// follower reads one part of the store and then its changes.
type follower struct {
	part   part
	prefix string
	// gather returns the pause between two watches; nil means none.
	gather func() time.Duration
	// apply takes over rows; complete says that they are all rows of the part.
	apply func(rows []platform.Row, complete bool)
}

// followPolicy keeps the policy up to date.
func (s *Syncer) followPolicy(ctx context.Context) {
	s.follow(ctx, follower{part: policyPart, prefix: s.config.Keys.PolicyPrefix, apply: s.applyPolicy})
}

// followRoster keeps the roster up to date.
func (s *Syncer) followRoster(ctx context.Context) {
	s.follow(ctx, follower{part: rosterPart, prefix: s.config.Keys.HostPrefix, gather: s.gatherTime, apply: s.applyRoster})
}

// gatherTime returns the pause between two watches of the roster.
func (s *Syncer) gatherTime() time.Duration {
	hosts := time.Duration(len(s.View().Hosts()))
	return min(max(hosts*gatherPerHost, leastGather), longestGather)
}

// follow reads a part and its changes until ctx ends.
func (s *Syncer) follow(ctx context.Context, f follower) {
	// read says that since is a revision; an empty store is at revision zero.
	var since platform.Revision
	read := false
	wait := firstPause
	watchWait := WatchWait
	for ctx.Err() == nil {
		through, err := s.step(ctx, f, read, since, watchWait)
		switch {
		case err == nil:
			read, since, wait, watchWait = true, through, firstPause, WatchWait
			s.reached(f.part)
			if f.gather != nil && !clock.Sleep(ctx, f.gather()) {
				return
			}
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, platform.ErrHistoryLost):
			s.config.Log.Info().Str("part", string(f.part)).Uint64("since", uint64(since)).Msg("sync: history lost, reading anew")
			read = false
			continue
		}
		s.failed(f.part, err)
		watchWait = returnWait
		// Half of the pause is random, so that the daemons do not return to a store in one wave.
		if !s.pause(ctx, f.part, wait/2+rand.N(wait/2)) {
			return
		}
		wait = min(2*wait, longestPause)
	}
}

// pause waits between two tries for a part. While the policy cannot be read either, only the policy is tried: the roster
// follows at once when the store is back. Each refused call costs the store as much as one that it serves.
func (s *Syncer) pause(ctx context.Context, p part, wait time.Duration) bool {
	back := s.policyBack()
	if p != rosterPart || back == nil {
		return clock.Sleep(ctx, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, longestFollow)
	defer cancel()
	select {
	case <-back:
		return true
	case <-ctx.Done():
		return errors.Is(ctx.Err(), context.DeadlineExceeded)
	}
}

// policyBack returns a channel that is closed when the policy can be read again; nil if it can be read.
func (s *Syncer) policyBack() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contacts[policyPart].back
}

// step reads a part once, or waits for its next changes.
func (s *Syncer) step(ctx context.Context, f follower, read bool, since platform.Revision, wait time.Duration) (platform.Revision, error) {
	if !read {
		return s.readAll(ctx, f)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	rows, err := s.config.Store.Watch(ctx, f.prefix, since, wait)
	if err != nil {
		return 0, err
	}
	if len(rows.Rows) > 0 {
		f.apply(rows.Rows, false)
	}
	return rows.Through, nil
}

// readAll reads all rows of a part. Changes between two pages are seen by the first watch, which starts at the
// revision of the first page.
func (s *Syncer) readAll(ctx context.Context, f follower) (platform.Revision, error) {
	var all []platform.Row
	var first platform.Revision
	after := ""
	for {
		rows, err := s.scan(ctx, f.prefix, after)
		if err != nil {
			return 0, err
		}
		if after == "" {
			first = rows.Through
		}
		all = append(all, rows.Rows...)
		if !rows.More || len(rows.Rows) == 0 {
			f.apply(all, true)
			return first, nil
		}
		after = rows.Rows[len(rows.Rows)-1].Key
	}
}

// scan reads one page.
func (s *Syncer) scan(ctx context.Context, prefix, after string) (platform.Rows, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.config.Store.Scan(ctx, prefix, after, scanLimit)
}

// applyPolicy takes over the operator's rows.
func (s *Syncer) applyPolicy(rows []platform.Row, _ bool) {
	for _, row := range rows {
		if row.Key == s.config.Keys.PolicyKey && row.Exists() {
			s.setPolicy(row.Value, "store")
		}
	}
}

// applyRoster takes over records of hosts.
func (s *Syncer) applyRoster(rows []platform.Row, complete bool) {
	s.mu.Lock()
	if complete {
		s.records = map[id.HostID]stored{}
	}
	for _, row := range rows {
		s.applyRecord(row)
	}
	s.rebuild()
	own, found := s.records[s.config.Self]
	restore := complete && !s.restored
	s.restored = s.restored || complete
	republish := s.own.known && (!found || own.record != s.own.record)
	s.mu.Unlock()
	if restore && found {
		s.config.Restored(own.record)
	}
	if republish {
		s.wakePublisher()
	}
	s.changed()
}

// applyRecord takes over one row. The lock is held.
func (s *Syncer) applyRecord(row platform.Row) {
	host := id.HostID(strings.TrimPrefix(row.Key, s.config.Keys.HostPrefix))
	if !row.Exists() {
		delete(s.records, host)
		return
	}
	var record roster.Record
	if err := json.Unmarshal(row.Value, &record); err != nil || record.Host != host || !record.Valid() {
		s.config.Log.Warn().AnErr("cause", err).Str("key", row.Key).Msg("sync: record ignored")
		return
	}
	s.records[host] = stored{record: record, revision: row.Revision}
}

// rebuild makes the view of the records. The lock is held.
func (s *Syncer) rebuild() {
	records := make([]roster.Record, 0, len(s.records))
	for host, r := range s.records {
		if host != s.config.Self || !s.own.known {
			records = append(records, r.record)
		}
	}
	if s.own.known && !s.own.remove {
		// What this host wants to publish is newer than what the store holds.
		records = append(records, s.own.record)
	}
	s.view = roster.NewView(records)
}
