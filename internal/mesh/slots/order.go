package slots

import "buckthornlatch.example/buckthornlatch/internal/clock"

// serveQueue starts queued attempts while slots are free. It refuses those that have too little time left, and repeats
// for which the budget no longer suffices: they are charged when they run, because most queued attempts go elsewhere.
func (a *Admission) serveQueue(now clock.Time) []Turn {
	var turns []Turn
	for a.open && len(a.queue) > 0 {
		next := a.next(now)
		w := a.queue[next]
		if !a.fits(now, w.Demand) {
			// Nested attempts are served first, so that no other queued attempt fits either.
			break
		}
		a.queue = append(a.queue[:next], a.queue[next+1:]...)
		if w.Remaining-now.Sub(w.arrived) < a.minRemaining(w.Route) {
			turns = append(turns, Turn{ID: w.ID, Reason: TooLate})
			continue
		}
		if a.outlastsStop(now, w.Demand) {
			turns = append(turns, Turn{ID: w.ID, Reason: Stopping})
			continue
		}
		if w.Repeat && !a.repeats.available(now) {
			turns = append(turns, Turn{ID: w.ID, Reason: RepeatsUsedUp})
			continue
		}
		a.repeats.spend(w.Demand)
		a.start(now, w.Demand)
		turns = append(turns, Turn{ID: w.ID, Run: true})
	}
	return turns
}

// next returns the index of the queued attempt that is served next.
func (a *Admission) next(now clock.Time) int {
	best := 0
	for i := 1; i < len(a.queue); i++ {
		if a.before(now, a.queue[i], a.queue[best]) {
			best = i
		}
	}
	return best
}

// before reports whether x is served before y. The queue is in order of arrival, and that order decides ties.
func (a *Admission) before(now clock.Time, x, y *waiter) bool {
	if x.class() != y.class() {
		return x.class() < y.class()
	}
	xLate, yLate := a.late(now, x), a.late(now, y)
	if xLate != yLate {
		return yLate
	}
	return a.usage.of(now, x.Customer) < a.usage.of(now, y.Customer)
}

// late reports whether a queued attempt can no longer meet its objective.
func (a *Admission) late(now clock.Time, w *waiter) bool {
	return w.Objective > 0 && w.Objective-now.Sub(w.arrived) < a.minRemaining(w.Route)
}
