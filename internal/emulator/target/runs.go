package target

import "sync"

// Runs counts how often each request id ran to its effect.
type Runs struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewRuns returns an empty count.
func NewRuns() *Runs {
	return &Runs{counts: make(map[string]int)}
}

// Add records one run of a request.
func (r *Runs) Add(requestID string) {
	if requestID == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[requestID]++
}

// Snapshot returns a copy of all counts.
func (r *Runs) Snapshot() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.counts))
	for requestID, n := range r.counts {
		out[requestID] = n
	}
	return out
}
