package slots

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// repeatableHopeless and repeatableOvertaken are the multiples of the overdue limit from which an attempt that can
	// be repeated elsewhere is given up: the first in any case, the second if later attempts have overtaken it.
	repeatableHopeless  = 1.5
	repeatableOvertaken = 1.0
	// onceHopeless and onceOvertaken are those of an attempt that cannot be repeated. Its caller loses an answer that
	// might still come, so that there must be little hope for it: at 2.5 limits it has taken about seven times its mean.
	onceHopeless  = 2.5
	onceOvertaken = 1.5
	// overtakenBy is the number of attempts that started later and have succeeded. It tells a target that hangs for a
	// part of its work from one that is slow for all of it.
	overtakenBy = 2
)

// reclaim names a running attempt that should be given up for the sake of an arriving one that finds no slot. A target that
// hangs keeps its slots until the deadlines of what it runs, and everybody else waits behind that.
func (a *Admission) reclaim(now clock.Time) (ID, bool) {
	var worst *running
	for _, r := range a.running {
		if !r.offered && a.hopeless(now, r) && (worst == nil || r.started < worst.started) {
			worst = r
		}
	}
	if worst == nil {
		return 0, false
	}
	worst.offered = true
	return worst.ID, true
}

// hopeless reports whether a running attempt will most likely not be answered in time.
func (a *Admission) hopeless(now clock.Time, r *running) bool {
	limit, known := a.overdueLimit(r.Demand)
	if !known {
		return false
	}
	hopeless, overtaken := onceHopeless, onceOvertaken
	if r.Idempotent && !r.Repeat {
		hopeless, overtaken = repeatableHopeless, repeatableOvertaken
	}
	elapsed := now.Sub(r.started)
	if r.overtaken >= overtakenBy {
		return elapsed >= time.Duration(overtaken*float64(limit))
	}
	return elapsed >= time.Duration(hopeless*float64(limit))
}

// overtake notes that an attempt that started at a time has succeeded.
func (a *Admission) overtake(started clock.Time) {
	for _, r := range a.running {
		if r.started < started {
			r.overtaken++
		}
	}
}
