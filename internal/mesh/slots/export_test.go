package slots

import "buckthornlatch.example/buckthornlatch/internal/clock"

// Suspected reports whether the target is suspected of failing its work.
func (a *Admission) Suspected(now clock.Time) bool {
	a.suspicion.decay(now)
	return a.suspicion.suspected
}

// QueuedFits reports whether a queued attempt may use a free slot.
func (a *Admission) QueuedFits(now clock.Time) bool {
	_, any := a.next(now, a.room(now))
	return any
}
