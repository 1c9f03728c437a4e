package platform

import (
	"math/rand/v2"
	"sync"

	"golang.org/x/time/rate"
)

// switchboard holds the current faults, limiters and counts.
type switchboard struct {
	mu     sync.Mutex
	faults Faults
	reads  *rate.Limiter
	writes *rate.Limiter
	counts Counts
	random *rand.Rand
}

// newSwitchboard returns a switchboard without faults.
func newSwitchboard(seed uint64) *switchboard {
	s := &switchboard{random: rand.New(rand.NewPCG(seed, 0))}
	s.set(Faults{})
	return s
}

// set replaces the faults.
func (s *switchboard) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.reads = limiter(f.ReadsPerSecond)
	s.writes = limiter(f.WritesPerSecond)
}

// limiter returns a limiter that allows bursts of one second's calls.
func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// get returns the faults and counts.
func (s *switchboard) get() (Faults, Counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.counts
}

// admit decides whether a call proceeds, and counts it.
func (s *switchboard) admit(isWrite bool) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, count := s.reads, &s.counts.Reads
	if isWrite {
		limit, count = s.writes, &s.counts.Writes
	}
	if s.faults.Down {
		s.counts.Refused++
		return refusedDown
	}
	if !limit.Allow() {
		s.counts.Refused++
		return refusedLimit
	}
	*count++
	if isWrite && s.random.Float64() < s.faults.LoseResponses {
		s.counts.Lost++
		return proceedAndLose
	}
	return proceed
}
