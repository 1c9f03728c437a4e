package freshness

import "buckthornlatch.example/buckthornlatch/internal/clock"

// Verdict is the result of Evaluate.
type Verdict struct {
	// Until is the time up to which the daemon is fresh; meaningless when Basis is None.
	Until clock.Time
	Basis Basis
}

// Fresh reports whether the daemon is fresh at now.
func (v Verdict) Fresh(now clock.Time) bool {
	return v.Basis != None && now.Before(v.Until)
}
