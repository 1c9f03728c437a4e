package quarantine

// Verdict says whether and how a request may run.
type Verdict uint8

const (
	// Clear requests run without restriction.
	Clear Verdict = iota
	// Suspect requests run only on the target that IsolationTarget returns, one at a time.
	Suspect
	// Quarantined requests are refused with the guarantee that they have not run.
	Quarantined
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	}
	return "clear"
}
