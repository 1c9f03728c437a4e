package catalogsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// changesPerSnapshot is the number of changes after which a new snapshot is stored.
// A starting daemon reads the snapshot and at most about that many changes.
const changesPerSnapshot = 256

// snapshotter stores a snapshot when the stored one is old. Every daemon tries,
// each after a random delay, and skips the write if another was first.
type snapshotter struct {
	store  Store
	config Config

	mu     sync.Mutex
	stored catalogue.Revision
	// due is when this daemon tries to store one; zero when none is scheduled.
	due    clock.Time
	random *rand.Rand
}

// newSnapshotter returns a snapshotter that assumes that no snapshot is stored.
func newSnapshotter(store Store, config Config, random *rand.Rand) *snapshotter {
	return &snapshotter{store: store, config: config, random: random}
}

// noteStored records the revision of the stored snapshot.
func (s *snapshotter) noteStored(revision catalogue.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored = max(s.stored, revision)
}

// storeIfDue stores the snapshot if it is needed and this daemon's delay has passed.
func (s *snapshotter) storeIfDue(ctx context.Context, snapshot *catalogue.Snapshot) error {
	if !s.isDue(snapshot.Revision()) {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	_, stored, err := s.store.Revisions(call)
	if err != nil {
		return err
	}
	if stored+changesPerSnapshot > snapshot.Revision() {
		s.noteStored(stored)
		return nil
	}
	if err := s.store.SaveSnapshot(call, snapshot); err != nil {
		return err
	}
	s.noteStored(snapshot.Revision())
	return nil
}

// isDue reports whether to try now. When a snapshot becomes needed, it draws
// the random delay.
func (s *snapshotter) isDue(revision catalogue.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	if revision < s.stored+changesPerSnapshot {
		s.due = 0
		return false
	}
	if s.due == 0 {
		s.due = now.Add(time.Duration(s.random.Int64N(int64(s.config.SnapshotSpread))) + 1)
		return false
	}
	if now.Before(s.due) {
		return false
	}
	s.due = 0
	return true
}
