package balancer

import (
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// Shared wraps a Balancer with a lock and a clock. It is safe for concurrent use.
type Shared struct {
	mu       sync.Mutex
	clock    clock.Clock
	balancer *Balancer
}

// NewShared returns a shared balancer without targets.
func NewShared(config Config, c clock.Clock) *Shared {
	return &Shared{clock: c, balancer: New(config)}
}

// Sync updates all hosts from the membership table. Call it after every change and also
// periodically, because a host can become suspected by the passage of time alone.
func (s *Shared) Sync(table *membership.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, record := range table.Records() {
		s.balancer.SetHost(record, table.Suspected(record.Host, now), now)
	}
	for _, host := range s.balancer.Hosts() {
		if table.Record(host) == nil {
			s.balancer.RemoveHost(host)
		}
	}
}

// Pick is Balancer.Pick for a request that need not be idempotent.
func (s *Shared) Pick(service id.ServiceName, exclude []id.TargetID) (Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Pick(service, exclude, false, s.clock.Now())
}

// PickIdempotent is Balancer.Pick for an idempotent request, which may run more than once.
func (s *Shared) PickIdempotent(service id.ServiceName, exclude []id.TargetID) (Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Pick(service, exclude, true, s.clock.Now())
}

// Report calls Balancer.Report at the current time.
func (s *Shared) Report(f Feedback) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Report(f, s.clock.Now())
}

// ReportPath calls Balancer.ReportPath at the current time.
func (s *Shared) ReportPath(host id.HostID, reached bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.ReportPath(host, reached, s.clock.Now())
}
