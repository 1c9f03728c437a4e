package quarantine

import (
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Shared is a Quarantine with a lock and a clock. It is safe for concurrent use.
type Shared struct {
	mu         sync.Mutex
	clock      clock.Clock
	quarantine *Quarantine
}

// NewShared returns a shared, empty quarantine.
func NewShared(config Config, c clock.Clock) *Shared {
	return &Shared{clock: c, quarantine: New(config)}
}

// Check is Quarantine.Check.
func (s *Shared) Check(fingerprint string) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Check(fingerprint, s.clock.Now())
}

// Isolation is Quarantine.Isolation.
func (s *Shared) Isolation(fingerprint string, candidates []id.TargetID) (id.TargetID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Isolation(fingerprint, candidates, s.clock.Now())
}

// With calls f with the quarantine and the time. f must not keep the quarantine or call Shared.
func (s *Shared) With(f func(q *Quarantine, now clock.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.quarantine, s.clock.Now())
}
