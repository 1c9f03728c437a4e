package catalogsync

import (
	"context"
	"math/rand/v2"
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fault"
)

const (
	// pageSize is the maximal number of changes of one read.
	pageSize = 64
	// snapshotThreshold is the number of revisions by which the stored snapshot
	// must be ahead of the copy to be loaded instead of the changes.
	snapshotThreshold = 2 * pageSize
)

// Syncer polls the platform and applies its changes to a Replica. It is safe for concurrent use.
type Syncer struct {
	*Replica
	store       Store
	config      Config
	snapshotter *snapshotter

	// poll serializes reads of the platform.
	poll sync.Mutex

	mu     sync.Mutex
	status Status
	random *rand.Rand
}

// New returns a Syncer with an empty copy. Call Run to start polling.
func New(store Store, config Config) *Syncer {
	config = config.withDefaults()
	random := rand.New(rand.NewPCG(config.Seed, 0))
	return &Syncer{
		Replica:     NewReplica(config.OnApply),
		store:       store,
		config:      config,
		snapshotter: newSnapshotter(store, config, rand.New(rand.NewPCG(config.Seed, 1))),
		random:      random,
	}
}

// Status returns the state of the copy.
func (s *Syncer) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.status
	status.Revision = s.Snapshot().Revision()
	return status
}

// Poll reads changes from the platform until the copy is current, and marks it
// confirmed. Error: *fault.Error; what was read before the failure stays applied.
func (s *Syncer) Poll(ctx context.Context) error {
	s.poll.Lock()
	defer s.poll.Unlock()
	err := s.catchUp(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.status.Failures++
		return fault.New("read catalogue changes", "platform", err)
	}
	return nil
}

// catchUp reads changes until there are no more. It checks for a stored snapshot
// at most once: at the start while the copy is unconfirmed, and otherwise when
// the changes do not fit into one page.
func (s *Syncer) catchUp(ctx context.Context) error {
	bootstrapped := false
	if !s.Status().Confirmed {
		if err := s.bootstrap(ctx); err != nil {
			return err
		}
		bootstrapped = true
	}
	for {
		began := s.config.Clock.Now()
		more, err := s.readPage(ctx)
		if err != nil {
			return err
		}
		if !more {
			s.confirm(began)
			return nil
		}
		if !bootstrapped {
			if err := s.bootstrap(ctx); err != nil {
				return err
			}
			bootstrapped = true
		}
	}
}

// readPage reads and applies one page of changes.
func (s *Syncer) readPage(ctx context.Context) (more bool, err error) {
	call, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	records, more, err := s.store.Changes(call, s.Snapshot().Revision(), pageSize)
	if err != nil {
		return false, err
	}
	return more, s.ApplyRecords(records)
}

// confirm records that a read that began at the given time found no further changes.
func (s *Syncer) confirm(began clock.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Confirmed = true
	s.status.ConfirmedAt = began
	s.status.Failures = 0
}

// bootstrap installs the stored snapshot when the copy is far behind it. Only a
// failed read of its revision is an error: if the snapshot cannot be used, the
// changes are read instead.
func (s *Syncer) bootstrap(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	_, stored, err := s.store.Revisions(call)
	if err != nil {
		return err
	}
	s.snapshotter.noteStored(stored)
	if stored < s.Snapshot().Revision()+snapshotThreshold {
		return nil
	}
	snapshot, err := s.store.LoadSnapshot(call)
	if err == nil {
		err = s.Replace(snapshot)
	}
	if err != nil {
		s.config.Logger.Warn().Err(err).Msg("catalogsync: cannot use the stored snapshot; reading changes instead")
	}
	return nil
}
