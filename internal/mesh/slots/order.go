package slots

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// serveQueue starts queued attempts while there are slots for them. It refuses those that have too little time left, and repeats
// for which the budget no longer suffices: they are charged when they run, because most queued attempts go elsewhere.
func (a *Admission) serveQueue(now clock.Time) []Turn {
	var turns []Turn
	for a.open && len(a.queue) > 0 && len(a.running) < a.slots {
		next, any := a.next(now, a.room(now))
		if !any {
			break
		}
		w := a.queue[next]
		a.queue = append(a.queue[:next], a.queue[next+1:]...)
		if w.Remaining-now.Sub(w.arrived) < a.minRemaining(w.Route) {
			turns = append(turns, Turn{ID: w.ID, Reason: TooLate})
			continue
		}
		if a.outlastsStop(now, w.Demand) {
			turns = append(turns, Turn{ID: w.ID, Reason: Stopping})
			continue
		}
		if w.Repeat && !a.repeats.available(now, w.level()) {
			turns = append(turns, Turn{ID: w.ID, Reason: RepeatsUsedUp})
			continue
		}
		a.repeats.spend(w.Demand)
		a.start(now, w.Demand)
		turns = append(turns, Turn{ID: w.ID, Run: true})
	}
	return turns
}

// next returns the index of the queued attempt that is served next, and false if no slot may be used for any. An attempt that does
// not fit does not delay the others: what keeps it from a slot is work that outlasts the patience of more urgent attempts, and
// only attempts that fit beside that reservation are started before it.
func (a *Admission) next(now clock.Time, r *room) (int, bool) {
	best := -1
	for i, w := range a.queue {
		if a.fits(r, w.Demand) && (best < 0 || a.before(now, r, w, a.queue[best])) {
			best = i
		}
	}
	return best, best >= 0
}

// before reports whether x is served before y. The queue is in order of arrival, and that order decides ties.
func (a *Admission) before(now clock.Time, r *room, x, y *waiter) bool {
	if x.class() != y.class() {
		if xEntitled, yEntitled := r.entitled[x.level()] > 0, r.entitled[y.level()] > 0; xEntitled != yEntitled {
			return xEntitled
		}
		return x.class() < y.class()
	}
	xLate, yLate := a.late(now, x), a.late(now, y)
	if xLate != yLate {
		return yLate
	}
	return a.customerWork(now, x.Customer) < a.customerWork(now, y.Customer)
}

// late reports whether a queued attempt can no longer meet its objective.
func (a *Admission) late(now clock.Time, w *waiter) bool {
	return w.Objective > 0 && w.Objective-now.Sub(w.arrived) < a.minRemaining(w.Route)
}

// customerWork returns a customer's recent work in seconds, at all gates as far as entries have reported it. Entries of the
// previous version report nothing.
func (a *Admission) customerWork(now clock.Time, customer id.CustomerID) float64 {
	return max(a.usage.Of(now, customer), a.reports.Of(now, customer))
}

// displace removes the earlier queued attempt that is served last if the queue has exceeded its bound. The last in the queue has just
// arrived and is not displaced.
func (a *Admission) displace(now clock.Time, r *room) (ID, bool) {
	if len(a.queue) <= maxQueue {
		return 0, false
	}
	last := 0
	for i := range maxQueue {
		if !a.before(now, r, a.queue[i], a.queue[last]) {
			last = i
		}
	}
	w := a.queue[last]
	a.queue = append(a.queue[:last], a.queue[last+1:]...)
	return w.ID, true
}
