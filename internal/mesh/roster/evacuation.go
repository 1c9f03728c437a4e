package roster

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// WithEvacuation returns a copy of the view with the failure domains that are evacuated. Known is false while the process
// has not learned which ones are.
func (v *View) WithEvacuation(domains []id.FailureDomain, known bool) *View {
	other := *v
	other.evacuated, other.evacuationKnown = slices.Clone(domains), known
	return &other
}

// Evacuated reports whether nothing may be sent to the targets of a failure domain.
func (v *View) Evacuated(domain id.FailureDomain) bool {
	return slices.Contains(v.evacuated, domain)
}

// EvacuatedDomains returns the evacuated failure domains. The slice must not be modified.
func (v *View) EvacuatedDomains() []id.FailureDomain { return v.evacuated }

// EvacuationKnown reports whether it is known which failure domains are evacuated, or assumed that none is because nobody can
// tell.
func (v *View) EvacuationKnown() bool { return v.evacuationKnown }
