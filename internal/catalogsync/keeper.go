package catalogsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// snapshotEvery is the number of changes after which a new snapshot is stored.
// A daemon that starts reads at most about that many changes besides it.
const snapshotEvery = 256

// keeper stores a snapshot when the stored one is old. Every daemon tries,
// each after a random delay, and skips the write if another was first.
type keeper struct {
	store  Store
	config Config

	mu     sync.Mutex
	stored catalogue.Revision
	// due is when this daemon tries; zero when no snapshot is needed.
	due    clock.Time
	random *rand.Rand
}

// newKeeper returns a keeper that knows of no stored snapshot.
func newKeeper(store Store, config Config, random *rand.Rand) *keeper {
	return &keeper{store: store, config: config, random: random}
}

// sawStored notes the revision of the stored snapshot.
func (k *keeper) sawStored(revision catalogue.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stored = max(k.stored, revision)
}

// step stores the snapshot if it is needed and this daemon's delay has passed.
func (k *keeper) step(ctx context.Context, snapshot *catalogue.Snapshot) error {
	if !k.isDue(snapshot.Revision()) {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, k.config.CallTimeout)
	defer cancel()
	_, stored, err := k.store.Revisions(call)
	if err != nil {
		return err
	}
	if stored+snapshotEvery > snapshot.Revision() {
		k.sawStored(stored)
		return nil
	}
	if err := k.store.SaveSnapshot(call, snapshot); err != nil {
		return err
	}
	k.sawStored(snapshot.Revision())
	return nil
}

// isDue decides whether to try now, and sets the delay when a snapshot becomes needed.
func (k *keeper) isDue(revision catalogue.Revision) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.config.Clock.Now()
	if revision < k.stored+snapshotEvery {
		k.due = 0
		return false
	}
	if k.due == 0 {
		k.due = now.Add(time.Duration(k.random.Int64N(int64(k.config.SnapshotSpread))) + 1)
		return false
	}
	if now.Before(k.due) {
		return false
	}
	k.due = 0
	return true
}
