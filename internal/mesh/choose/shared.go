package choose

import (
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

// Shared is a chooser for concurrent use.
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
func (s *Shared) Start(service id.ServiceName, exclude []id.HostID) (id.HostID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host, ok := s.chooser.Pick(s.clock.Now(), service, exclude)
	if ok {
		s.chooser.Started(host)
	}
	return host, ok
}

// StartLeast is Start at the least busy of the given hosts.
func (s *Shared) StartLeast(among []id.HostID) (id.HostID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host, ok := s.chooser.Least(s.clock.Now(), among)
	if ok {
		s.chooser.Started(host)
	}
	return host, ok
}

// Report records an observation.
func (s *Shared) Report(host id.HostID, r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Report(s.clock.Now(), host, r)
}

// Finish ends an attempt and records what it told.
func (s *Shared) Finish(host id.HostID, r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Finished(host)
	s.chooser.Report(s.clock.Now(), host, r)
}

// Unreached is Chooser.Unreached.
func (s *Shared) Unreached(host id.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.Unreached(host)
}

// Targets is Chooser.Targets.
func (s *Shared) Targets(service id.ServiceName) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.Targets(service)
}

// Lost is Chooser.Lost.
func (s *Shared) Lost(after time.Duration) []id.HostID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.Lost(s.clock.Now(), after)
}
