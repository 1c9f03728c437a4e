package statesync

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// Syncer keeps the policy and the roster. It is safe for concurrent use.
type Syncer struct {
	config Config
	peers  *peerSource
	// write tells the publisher that the host's record changed or is missing in the store.
	write chan struct{}
	// hint tells the peer loop that a host has a newer policy.
	hint chan id.HostID

	mu       sync.Mutex
	policy   *policy.Snapshot
	view     *roster.View
	records  map[id.HostID]stored
	contacts map[part]contact
	own      ownRecord
	restored bool
	// noticed says that a newer policy of another host is being waited for.
	noticed bool

	// deliver makes the calls of Changed follow each other.
	deliver sync.Mutex
}

// part is a part of the shared state with a connection of its own to the store.
type part string

const (
	policyPart part = "policy"
	rosterPart part = "roster"
	ownPart    part = "own record"
)

// contact tells since when the store does not answer for a part.
type contact struct {
	lost  bool
	since time.Time
	// back is closed when the store answers again.
	back chan struct{}
}

// lostContact returns the state of a part from now on.
func lostContact() contact {
	return contact{lost: true, since: time.Now(), back: make(chan struct{})}
}

// stored is a record with its revision; zero for one that a peer told.
type stored struct {
	record   roster.Record
	revision platform.Revision
}

// New returns a syncer that knows nothing.
func New(config Config) *Syncer {
	return &Syncer{
		config: config, peers: newPeerSource(), write: make(chan struct{}, 1), hint: make(chan id.HostID, 1),
		view: roster.NewView(nil), records: map[id.HostID]stored{},
		contacts: map[part]contact{policyPart: lostContact(), rosterPart: lostContact()},
	}
}

// Run keeps the state until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){s.followPolicy, s.followRoster, s.publish, s.askPeers} {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return group.Wait()
}

// Policy returns the policy in force, nil when none is known, and for how long the store has been out of reach.
func (s *Syncer) Policy() (*policy.Snapshot, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy, s.age(policyPart)
}

// age returns for how long the store has not answered for a part.
func (s *Syncer) age(p part) time.Duration {
	c := s.contacts[p]
	if !c.lost {
		return 0
	}
	return time.Since(c.since)
}

// View returns the roster as far as it is known.
func (s *Syncer) View() *roster.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Version returns the version of the policy in force; zero when none is known.
func (s *Syncer) Version() policy.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.policy == nil {
		return 0
	}
	return s.policy.Version()
}

// reached notes that the store answered for a part.
func (s *Syncer) reached(p part) {
	s.mu.Lock()
	before := s.contacts[p]
	s.contacts[p] = contact{}
	s.mu.Unlock()
	if before.lost {
		close(before.back)
		s.config.Log.Info().Str("part", string(p)).Dur("after", time.Since(before.since)).Msg("sync: store reached")
	}
}

// failed notes that the store did not answer for a part.
func (s *Syncer) failed(p part, err error) {
	s.mu.Lock()
	before := s.contacts[p]
	if !before.lost {
		s.contacts[p] = lostContact()
	}
	s.mu.Unlock()
	if !before.lost {
		s.config.Log.Warn().Str("part", string(p)).Err(err).Msg("sync: store lost")
	}
}

// setPolicy takes over a policy unless it is older than the one in force.
func (s *Syncer) setPolicy(raw []byte, source string) {
	document, err := s.config.Decode(raw)
	if err != nil {
		s.config.Log.Error().Err(err).Str("source", source).Msg("sync: policy ignored")
		return
	}
	snapshot, err := policy.Build(document)
	if err != nil {
		s.config.Log.Error().Err(err).Str("source", source).Msg("sync: policy ignored")
		return
	}
	s.mu.Lock()
	if s.policy != nil && snapshot.Version() <= s.policy.Version() {
		s.mu.Unlock()
		return
	}
	invariant.Check(s.policy == nil || snapshot.Version() > s.policy.Version(), "policy-version-monotonic",
		"policy %d takes the place of a newer one", snapshot.Version())
	s.policy = snapshot
	s.mu.Unlock()
	s.changed()
	s.config.Log.Info().Uint64("policy", uint64(snapshot.Version())).Str("source", source).Msg("sync: policy in force")
}

// changed passes the current state on.
func (s *Syncer) changed() {
	s.deliver.Lock()
	defer s.deliver.Unlock()
	s.mu.Lock()
	p, v := s.policy, s.view
	s.mu.Unlock()
	s.config.Changed(p, v)
}
