package claims

import (
	"context"
	"errors"
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// idleWait is the longest time between two checks of deadlines and due removals.
const idleWait = 100 * time.Millisecond

// Run commits groups until ctx ends. It must be called exactly once.
func (s *Store) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(s.Flush(ctx))
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Flush makes at most one commit, if there is work and the commit rate allows it, and returns the
// time after which to call it again. It must not be called concurrently.
func (s *Store) Flush(ctx context.Context) time.Duration {
	b, wait := s.prepare()
	if len(b) == 0 {
		return wait
	}
	revision, err := s.commit(ctx, b.txn())
	var conflict *ConflictError
	var notDone *NotCommittedError
	switch {
	case err == nil:
		s.committed(b, revision)
	case errors.As(err, &conflict):
		s.conflicted(b, conflict.Current)
	case errors.As(err, &notDone):
		s.notDone(b)
	default:
		s.unresolved(ctx, b)
	}
	return 0
}

// Pending returns the number of queued claims and outcomes; a leaving daemon should wait for
// zero. It doesn't count a batch that is being committed.
func (s *Store) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.claims) + len(s.writes)
}

// commit sends a transaction to the table, within CommitTimeout.
func (s *Store) commit(ctx context.Context, txn Txn) (Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.CommitTimeout)
	defer cancel()
	return s.table.Commit(ctx, txn)
}

// prepare refuses the sends that waited too long and returns the next batch, or the time after
// which to call it again.
func (s *Store) prepare() (batch, time.Duration) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if wait := s.commitWait(now); wait > 0 {
		return nil, min(wait, idleWait)
	}
	b := s.nextBatch(now)
	if len(b) == 0 {
		return nil, idleWait
	}
	s.commitTokens.take(now)
	return b, 0
}

// commitWait returns the time until the queued operations may be committed. Writes and removals
// without claims wait until the bucket is full, so that its burst remains for claims.
func (s *Store) commitWait(now clock.Time) time.Duration {
	if len(s.claims) > 0 {
		return s.commitTokens.wait(now)
	}
	return max(s.commitTokens.fullAt.Sub(now), 0)
}

// expire refuses the sends whose claims are unresolved at their deadline.
func (s *Store) expire(now clock.Time) {
	s.claims = slices.DeleteFunc(s.claims, func(e *entry) bool {
		if !s.current(e) || (e.phase != phaseQueued && e.phase != phaseSent) {
			return true
		}
		if now.Before(e.deadline) {
			return false
		}
		s.withdraw(e)
		return true
	})
}

// committed handles a commit that took effect.
func (s *Store) committed(b batch, revision Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range b {
		s.applied(o, revision)
	}
}

// notDone handles a commit that certainly had no effect.
func (s *Store) notDone(b batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range b {
		e := o.entry
		if o.kind != opClaim || e.uncertain {
			s.requeue(o)
			continue
		}
		if s.current(e) && (e.phase == phaseSent || e.phase == phaseWithdrawn) {
			e.phase = phaseQueued
			s.withdraw(e)
		}
	}
}

// conflicted handles a commit that failed because the given rows had other revisions.
func (s *Store) conflicted(b batch, rows []Row) {
	current := indexRows(rows)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range b {
		if row, ok := current[o.entry.hash.rowKey()]; ok {
			s.resolve(o, row)
		} else {
			s.requeue(o)
		}
	}
}

// unresolved reads back the rows of a commit whose outcome is unknown. A row without the
// commit's effect proves nothing, because the commit may still be applied.
func (s *Store) unresolved(ctx context.Context, b batch) {
	s.mu.Lock()
	for _, o := range b {
		o.entry.uncertain = true
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.settings.CommitTimeout)
	defer cancel()
	rows, err := s.table.Get(ctx, b.keys())
	current := indexRows(rows)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range b {
		row, exists := current[o.entry.hash.rowKey()]
		if err == nil && exists && row.Revision != o.condition {
			s.resolve(o, row)
		} else {
			s.requeue(o)
		}
	}
}

// indexRows returns the rows by key.
func indexRows(rows []Row) map[string]Row {
	m := make(map[string]Row, len(rows))
	for _, r := range rows {
		m[r.Key] = r
	}
	return m
}
