package daemon

import (
	"sync/atomic"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// state is what the admin endpoints show of the daemon's life cycle.
type state struct {
	draining atomic.Bool
	epoch    atomic.Uint64
}

// Epoch returns the registered epoch; zero before the registration.
func (s *state) Epoch() id.Epoch {
	return id.Epoch(s.epoch.Load())
}
