package balancer

import (
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// gate is this daemon's view of a host's gate.
type gate struct {
	host          id.HostID
	failureDomain id.FailureDomain
	address       string
	record        *membership.Record
	suspected     bool
	path          path
	targets       []*target
}

// target returns the gate's target with the given name, or nil.
func (g *gate) target(name string) *target {
	for _, t := range g.targets {
		if t.id.Name == name {
			return t
		}
	}
	return nil
}

// fallbackRank orders the gates that are not available, best first: a suspected host may still
// answer, but a path that just failed probably fails again.
func (g *gate) fallbackRank() int {
	rank := 0
	if g.suspected {
		rank++
	}
	if g.path.failures > 0 {
		rank += 2
	}
	return rank
}

// available reports whether new work may go to the gate's targets without a trial.
func (g *gate) available() bool {
	return !g.suspected && g.path.failures == 0
}
