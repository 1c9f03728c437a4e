package statesync

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// ownRecord is the record of this host that should be in the store.
type ownRecord struct {
	record roster.Record
	known  bool
	// remove says that the host leaves and its row should go.
	remove bool
	// done is closed when the store holds the record.
	done chan struct{}
}

// Publish sets the record of this host. The returned channel is closed when the store holds it or a later one.
func (s *Syncer) Publish(r roster.Record) <-chan struct{} {
	s.mu.Lock()
	done := make(chan struct{})
	s.supersede()
	s.own = ownRecord{record: r, known: true, done: done}
	s.rebuild()
	s.mu.Unlock()
	s.wakePublisher()
	s.changed()
	return done
}

// Leave removes the record of this host from the store. The returned channel is closed when it is gone.
func (s *Syncer) Leave() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := make(chan struct{})
	s.supersede()
	s.own.known, s.own.remove, s.own.done = true, true, done
	s.wakePublisher()
	return done
}

// supersede ends the wait for an earlier record. The lock is held.
func (s *Syncer) supersede() {
	if s.own.done != nil {
		close(s.own.done)
	}
}

// wakePublisher makes the publisher compare the store with the wanted record.
func (s *Syncer) wakePublisher() {
	select {
	case s.write <- struct{}{}:
	default:
	}
}

// publish writes the host's record until ctx ends.
func (s *Syncer) publish(ctx context.Context) {
	wait := firstPause
	for {
		select {
		case <-s.write:
		case <-ctx.Done():
			return
		}
		for !s.writeOwn(ctx) {
			if !clock.Sleep(ctx, wait/2+rand.N(wait/2)) {
				return
			}
			wait = min(2*wait, longestPause)
		}
		wait = firstPause
	}
}

// writeOwn makes the store hold the wanted record. It reports false when it must be tried again.
func (s *Syncer) writeOwn(ctx context.Context) bool {
	s.mu.Lock()
	own := s.own
	current := s.records[s.config.Self]
	s.mu.Unlock()
	if !own.known {
		return true
	}
	if !own.remove && current.revision > 0 && current.record == own.record {
		// The watch brought the record of a write whose answer was lost.
		s.noteWritten(own, current.revision)
		return true
	}
	key := s.config.Keys.HostPrefix + string(s.config.Self)
	txn := platform.Txn{Conditions: []platform.Condition{{Key: key, Revision: current.revision}}}
	value, err := json.Marshal(own.record)
	if err != nil {
		s.config.Log.Error().Err(err).Msg("sync: record cannot be encoded")
		return true
	}
	if own.remove {
		txn.Deletes = []string{key}
	} else {
		txn.Puts = []platform.Put{{Key: key, Value: value}}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := s.config.Store.Commit(ctx, txn)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		s.reached(ownPart)
		s.noteWritten(own, written)
		return true
	case errors.As(err, &conflict):
		return s.noteConflict(own, conflict, string(value))
	}
	s.failed(ownPart, err)
	return false
}

// noteWritten records a successful write.
func (s *Syncer) noteWritten(own ownRecord, revision platform.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if own.remove {
		delete(s.records, s.config.Self)
	} else {
		s.records[s.config.Self] = stored{record: own.record, revision: revision}
	}
	if s.own.done == own.done && own.done != nil {
		close(own.done)
		s.own.done = nil
	}
}

// noteConflict learns the current row. An earlier try of this process may have written it.
func (s *Syncer) noteConflict(own ownRecord, conflict *platform.ConflictError, value string) bool {
	s.reached(ownPart)
	var revision platform.Revision
	current := ""
	for _, row := range conflict.Rows {
		if row.Exists() {
			revision, current = row.Revision, string(row.Value)
		}
	}
	s.mu.Lock()
	s.records[s.config.Self] = stored{revision: revision}
	s.mu.Unlock()
	if (own.remove && revision == 0) || (!own.remove && current == value) {
		s.noteWritten(own, revision)
		return true
	}
	return false
}
