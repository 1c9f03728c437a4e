package statesync

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// ownRecord is the desired state of this host's row in the store.
type ownRecord struct {
	record roster.Record
	set    bool
	// replaced is set while a record of another process that was found in the store is passed on, which the own one must not replace
	// before.
	replaced bool
	// revision numbers the calls of Publish.
	revision uint64
	// done is closed when the store holds the record.
	done []chan struct{}
}

// Publish sets the record of this host and writes it in the background. The returned channel is closed when the store
// holds the record or a later one. A host does not delete its record, also when it stops: the record tells its next process
// which targets have left.
func (s *Syncer) Publish(r roster.Record) <-chan struct{} {
	s.mu.Lock()
	s.own.record, s.own.set = r, true
	s.own.revision++
	done := s.awaitOwn()
	s.rebuildView()
	s.mu.Unlock()
	s.wakePublisher()
	s.notify()
	return done
}

// awaitOwn returns a channel that is closed when the store holds what this host wants it to hold. The caller must hold
// s.mu.
func (s *Syncer) awaitOwn() <-chan struct{} {
	done := make(chan struct{})
	s.own.done = append(s.own.done, done)
	return done
}

// wakePublisher makes the publisher compare the store with the desired record.
func (s *Syncer) wakePublisher() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// publish writes the host's record whenever it is woken, and retries with backoff, until ctx ends.
func (s *Syncer) publish(ctx context.Context) {
	retries := backoff{longest: maxBackoff}
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		for !s.writeOwn(ctx) {
			if !clock.Sleep(ctx, retries.next()) {
				return
			}
		}
		retries.reset()
	}
}

// writeOwn writes the desired record to the store. It reports false if it must be retried.
func (s *Syncer) writeOwn(ctx context.Context) bool {
	s.mu.Lock()
	own := s.own
	current := s.records[s.config.Self]
	scanned := s.restored
	s.mu.Unlock()
	if !own.set || own.replaced || (!scanned && own.record.State == roster.Serving) {
		// A serving target can wait until the first scan has shown what an earlier process wrote; a leaving cannot.
		return true
	}
	if current.revision > 0 && current.record == own.record {
		// The watch returned the record of a write whose response was lost.
		s.noteWritten(own, current.revision)
		return true
	}
	key := s.config.Keys.HostPrefix + string(s.config.Self)
	value, err := json.Marshal(own.record)
	if err != nil {
		s.config.Log.Error().Err(err).Msg("sync: cannot encode the host record")
		return true
	}
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: current.revision}}, Puts: []platform.Put{{Key: key, Value: value}},
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := s.config.Store.Commit(ctx, txn)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		s.markReachable(ownPart)
		s.noteWritten(own, written)
		return true
	case errors.As(err, &conflict):
		return s.noteConflict(own, conflict, string(value))
	}
	s.markUnreachable(ownPart, err)
	return false
}

// noteWritten records a successful write.
func (s *Syncer) noteWritten(own ownRecord, revision platform.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setRecord(s.config.Self, storedRecord{record: own.record, revision: revision})
	if s.own.revision == own.revision {
		for _, done := range s.own.done {
			close(done)
		}
		s.own.done = nil
	}
}

// noteConflict records the current row and reports whether it is the desired one, which an earlier attempt of this process may
// have written. A record of another process is passed on, so that what it tells is part of the next attempt.
func (s *Syncer) noteConflict(own ownRecord, conflict *platform.ConflictError, value string) bool {
	s.markReachable(ownPart)
	var current platform.Row
	for _, row := range conflict.Rows {
		if row.Exists() {
			current = row
		}
	}
	s.mu.Lock()
	s.records[s.config.Self] = storedRecord{revision: current.Revision}
	s.mu.Unlock()
	if string(current.Value) == value {
		s.noteWritten(own, current.Revision)
		return true
	}
	var record roster.Record
	if err := json.Unmarshal(current.Value, &record); err == nil && record.Host == s.config.Self && record.Valid(time.Now()) {
		s.config.OnRestored(record)
	}
	return false
}

// takeOver passes on the record of this host that the store holds if another process wrote it, as it did if this is the first scan,
// and then lets the publisher replace it. The caller must hold s.mu, and call the returned function without it.
func (s *Syncer) takeOver(first bool) (pass func()) {
	stored, found := s.records[s.config.Self]
	found = found && stored.record.Host != ""
	if found && (first || stored.record != s.own.record) && stored.revision != s.passedOn {
		s.passedOn, s.own.replaced = stored.revision, true
	}
	passes := s.own.replaced
	return func() {
		if passes {
			s.config.OnRestored(stored.record)
		}
		s.mu.Lock()
		s.own.replaced = false
		republish := s.own.set && (!found || stored.record != s.own.record)
		s.mu.Unlock()
		if republish {
			s.wakePublisher()
		}
	}
}
