package ejection

import (
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Peer is a target of the same service on another host, as that host's record shows it.
type Peer struct {
	Target id.TargetID
	// Latency is zero when unknown.
	Latency   time.Duration
	ErrorRate float64
	// Unhealthy says that its gate suspects it or has ejected it.
	Unhealthy bool
}

// service is the state of one service.
type service struct {
	peers []Peer
}

// median returns the middle value of a sorted copy; zero for no values.
func median[T float64 | time.Duration](values []T) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/2]
}
