package quarantine

import (
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Shared wraps a Quarantine with a lock and a clock. It is safe for concurrent use.
type Shared struct {
	mu         sync.Mutex
	clock      clock.Clock
	quarantine *Quarantine
}

// NewShared returns a Shared without evidence.
func NewShared(config Config, c clock.Clock) *Shared {
	return &Shared{clock: c, quarantine: New(config)}
}

// Check calls Quarantine.Check at the current time.
func (s *Shared) Check(fingerprint string) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Check(fingerprint, s.clock.Now())
}

// IsolationTarget calls Quarantine.IsolationTarget at the current time.
func (s *Shared) IsolationTarget(fingerprint string, candidates []id.TargetID) (id.TargetID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.IsolationTarget(fingerprint, candidates, s.clock.Now())
}

// With calls f under the lock, with the current time. f must not keep its argument q or call Shared.
func (s *Shared) With(f func(q *Quarantine, now clock.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.quarantine, s.clock.Now())
}
