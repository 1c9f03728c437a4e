package slots

import "buckthornlatch.example/buckthornlatch/internal/clock"

// Suspected reports whether the target is suspected of failing its work.
func (a *Admission) Suspected(now clock.Time) bool {
	a.suspicion.decay(now)
	return a.suspicion.suspected
}
