package gate

import (
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

// domainState tells whether the gate's failure domain is evacuated.
type domainState uint8

const (
	// domainUnknown is the state of a process that has just started. It admits nothing, because its failure domain may be evacuated.
	domainUnknown domainState = iota
	domainInService
	domainEvacuated
)

// SetEvacuation tells the gate whether its failure domain is evacuated. Before the first call, and while the domain is evacuated,
// the gate refuses attempts, including queued ones and those that have a slot but were not sent yet. Attempts that the target has
// begun to receive continue.
func (g *Gate) SetEvacuation(evacuated bool) {
	state := domainInService
	if evacuated {
		state = domainEvacuated
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.domain
	if before == state {
		return
	}
	g.domain = state
	if before == domainEvacuated {
		// Its target may have become cold meanwhile and not have announced it yet.
		g.setCold(g.warmUp.Time, "evacuation")
	}
	if g.target != nil {
		g.updateAdmission()
	}
	if before != domainUnknown || evacuated {
		g.config.EventLog.Warn().Bool("evacuated", evacuated).Int("running", len(g.running)).Msg("gate: evacuation of the failure domain")
	}
}

// reasonOf returns the reason for a refusal by the admission, which is closed during an evacuation. The lock must be held.
func (g *Gate) reasonOf(r slots.Reason) link.Reason {
	if r == slots.NoTarget && g.domain == domainEvacuated {
		return link.Evacuated
	}
	return link.Reason(r)
}
