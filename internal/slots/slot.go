package slots

import (
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// Slot is the right to run one request. It is given back by Finish or Release,
// whichever is called first.
type Slot struct {
	pool    *Pool
	service *service
	since   clock.Time
	once    sync.Once
}

// Finish gives the slot back after a completed request, whose duration counts
// for the estimate of the service time.
func (s *Slot) Finish() {
	s.once.Do(func() { s.pool.release(s, true) })
}

// Release gives the slot back without counting the request.
func (s *Slot) Release() {
	s.once.Do(func() { s.pool.release(s, false) })
}
