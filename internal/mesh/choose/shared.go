package choose

import (
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

// Shared is a Chooser that is safe for concurrent use.
type Shared struct {
	mu      sync.Mutex
	chooser *Chooser
	clock   clock.Clock
}

// NewShared wraps a chooser.
func NewShared(c *Chooser, clk clock.Clock) *Shared {
	return &Shared{chooser: c, clock: clk}
}

// SetView is Chooser.SetView.
func (s *Shared) SetView(view *roster.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.SetView(view)
}

// Start picks a host and counts an attempt in flight there; Finish must follow.
func (s *Shared) Start(q Query) (id.HostID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host, ok := s.chooser.Pick(s.clock.Now(), q)
	if ok {
		s.chooser.Started(host)
	}
	return host, ok
}

// StartAmong is Start for the best of the given hosts.
func (s *Shared) StartAmong(among []id.HostID) (id.HostID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host, ok := s.chooser.PickAmong(s.clock.Now(), among)
	if ok {
		s.chooser.Started(host)
	}
	return host, ok
}

// Observe is Chooser.Observe.
func (s *Shared) Observe(host id.HostID, r Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Observe(s.clock.Now(), host, r)
}

// StayLimit is Chooser.StayLimit.
func (s *Shared) StayLimit(host id.HostID, q Query) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.StayLimit(s.clock.Now(), host, q)
}

// Leaving is Chooser.Leaving.
func (s *Shared) Leaving() map[id.ServiceName]Leaving {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.Leaving(s.clock.Now())
}

// Finish ends an attempt that Start counted and records an observation of its host.
func (s *Shared) Finish(host id.HostID, r Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Finished(host)
	s.chooser.Observe(s.clock.Now(), host, r)
}

// IsUnreachable is Chooser.IsUnreachable.
func (s *Shared) IsUnreachable(host id.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.IsUnreachable(host)
}

// ServingTargets is Chooser.ServingTargets.
func (s *Shared) ServingTargets(service id.ServiceName) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.ServingTargets(service)
}

// LostHosts is Chooser.LostHosts.
func (s *Shared) LostHosts(after time.Duration) []id.HostID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.LostHosts(s.clock.Now(), after)
}
