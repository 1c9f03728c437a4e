package ejection

import (
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Shared wraps a Detector with a lock. It is safe for concurrent use.
type Shared struct {
	mu    sync.Mutex
	judge *Detector
}

// NewShared returns a Shared for judge.
func NewShared(judge *Detector) *Shared {
	return &Shared{judge: judge}
}

// Observe calls Detector.Observe.
func (s *Shared) Observe(o Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judge.Observe(o)
}

// Eligible calls Detector.Eligible.
func (s *Shared) Eligible(t id.TargetID, now clock.Time) Eligibility {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.judge.Eligible(t, now)
}

// With calls f under the lock. f must not keep its argument or call Shared.
func (s *Shared) With(f func(j *Detector)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.judge)
}
