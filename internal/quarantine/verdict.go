package quarantine

// Verdict says what may be done with a request.
type Verdict uint8

const (
	// Clear requests run without restriction.
	Clear Verdict = iota
	// Suspect requests run on the target that Isolation names, one at a time.
	Suspect
	// Quarantined requests are refused as not run.
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
