package daemon

import (
	"sync/atomic"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// state is the part of the daemon's life cycle that the admin endpoints show.
type state struct {
	draining atomic.Bool
	epoch    atomic.Uint64
}

// Epoch returns the registered epoch; zero before the registration.
func (s *state) Epoch() id.Epoch {
	return id.Epoch(s.epoch.Load())
}
