package daemon

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// allEligible admits every announced target.
type allEligible struct{}

// Observe implements gate.Health.
func (allEligible) Observe(gate.Observation) {}

// Eligible implements gate.Health.
func (allEligible) Eligible(id.TargetID, clock.Time) gate.Eligibility {
	return gate.Eligibility{Admit: gate.AdmitAll, Weight: 1}
}

// noQuarantine lets every request through.
type noQuarantine struct{}

// Check implements entry.Quarantine.
func (noQuarantine) Check(string) entry.QuarantineVerdict {
	return entry.QuarantineVerdict{}
}
