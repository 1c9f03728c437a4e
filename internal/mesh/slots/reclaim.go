package slots

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// repeatableHungFactor and repeatableOvertakenFactor are the multiples of the overdue limit after which the slot of an
	// attempt that can be repeated elsewhere is reclaimed: the first in any case, the second if later attempts have
	// overtaken it.
	repeatableHungFactor      = 1.5
	repeatableOvertakenFactor = 1.0
	// unrepeatableHungFactor and unrepeatableOvertakenFactor apply to an attempt that cannot be repeated. Its caller loses
	// an answer that might still come, so that the limits are higher: 2.5 overdue limits are about seven times the mean
	// duration.
	unrepeatableHungFactor      = 2.5
	unrepeatableOvertakenFactor = 1.5
	// minLaterSuccesses is the number of attempts that started later and have succeeded from which an attempt counts as
	// overtaken. It distinguishes a target that hangs on a part of its work from one that is slow for all of it.
	minLaterSuccesses = 2
)

// reclaim returns the oldest running attempt that is likely hung, for an arriving attempt that finds no slot; it
// returns each attempt at most once. Without it, hung attempts would hold their slots until their deadlines, and all
// others would wait.
func (a *Admission) reclaim(now clock.Time) (ID, bool) {
	var oldest *running
	for _, r := range a.running {
		if !r.reclaimRequested && a.likelyHung(now, r) && (oldest == nil || r.started < oldest.started) {
			oldest = r
		}
	}
	if oldest == nil {
		return 0, false
	}
	oldest.reclaimRequested = true
	return oldest.ID, true
}

// likelyHung reports whether a running attempt will most likely not be answered in time.
func (a *Admission) likelyHung(now clock.Time, r *running) bool {
	limit, known := a.overdueLimit(r.Demand)
	if !known {
		return false
	}
	hungFactor, overtakenFactor := unrepeatableHungFactor, unrepeatableOvertakenFactor
	if r.Idempotent && !r.Repeat {
		hungFactor, overtakenFactor = repeatableHungFactor, repeatableOvertakenFactor
	}
	elapsed := now.Sub(r.started)
	if r.laterSuccesses >= minLaterSuccesses {
		return elapsed >= time.Duration(overtakenFactor*float64(limit))
	}
	return elapsed >= time.Duration(hungFactor*float64(limit))
}

// countLaterSuccess counts a success for all running attempts that started before the successful one.
func (a *Admission) countLaterSuccess(started clock.Time) {
	for _, r := range a.running {
		if r.started < started {
			r.laterSuccesses++
		}
	}
}
