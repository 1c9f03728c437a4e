package ejection

import (
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Peer is a target of another host in the same service, as its record shows it.
type Peer struct {
	Target id.TargetID
	// Latency is zero when unknown.
	Latency   time.Duration
	ErrorRate float64
	// Bad says that its gate suspects or ejected it.
	Bad bool
}

// service is what a judge knows of one service.
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
