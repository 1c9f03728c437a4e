package balancer

import (
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// gate is a host's gate as this observer sees it.
type gate struct {
	host          id.HostID
	failureDomain id.FailureDomain
	address       string
	record        *membership.Record
	suspected     bool
	path          path
	targets       []*target
}

// target returns the gate's target with a name, or nil.
func (g *gate) target(name string) *target {
	for _, t := range g.targets {
		if t.id.Name == name {
			return t
		}
	}
	return nil
}

// distrust ranks the gates that are not available: a host that was not heard may still answer, a
// path that just failed probably does not.
func (g *gate) distrust() int {
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
