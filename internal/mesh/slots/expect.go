package slots

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// OverdueAfter returns the time from the start of an attempt after which it is overdue.
func (a *Admission) OverdueAfter(d Demand) time.Duration {
	if limit, known := a.overdueLimit(d); known {
		return limit
	}
	return defaultOverdueAfter
}

// overdueLimit returns the duration after which an attempt counts as overdue, and whether one is known. The sources, in
// this order, are the gate's samples of the route, the entry's limit, the gate's samples of all routes with a margin,
// and a share of the objective, which operators set at two to four times the usual duration.
func (a *Admission) overdueLimit(d Demand) (time.Duration, bool) {
	if e := a.estimates.Of(d.Route); e.Known() {
		return e.OverdueAfter(), true
	}
	if d.OverdueAfter > 0 {
		return d.OverdueAfter, true
	}
	if a.all.Known() {
		return unknownRouteFactor * a.all.OverdueAfter(), true
	}
	return time.Duration(objectiveShare * float64(d.Objective)), d.Objective > 0
}

// expectedWork returns the expected duration of a route's work.
func (a *Admission) expectedWork(route id.RouteID) time.Duration {
	if e := a.estimates.Of(route); e.Known() {
		return e.Mean()
	}
	if a.all.Known() {
		return a.all.Mean()
	}
	return defaultWorkTime
}

// minRemaining returns the time that must remain for an attempt to start; zero for a route without samples, whose work
// time is unknown.
func (a *Admission) minRemaining(route id.RouteID) time.Duration {
	e := a.estimates.Of(route)
	if !e.Known() {
		return 0
	}
	return time.Duration(requiredWorkShare * float64(e.Mean()))
}

// expectedWait estimates the time until an attempt gets a slot. With n slots in use, the next one becomes free after
// about 1/n of the average remaining time of the running attempts, and each attempt that is served first adds 1/n of
// its expected work time. Slots that are reserved for more urgent attempts may add to it, and a
// cold target permits only so many starts a second.
func (a *Admission) expectedWait(now clock.Time, r *room, d Demand) time.Duration {
	var ahead time.Duration
	if r.free <= 0 {
		for _, running := range a.running {
			ahead += a.remainingWork(now, running)
		}
		ahead /= time.Duration(max(len(a.running), 1))
	}
	before := a.queuedBefore(now, r, d)
	coldWait := a.coldWait(now, len(before))
	if coldWait > 0 && len(a.running) < a.slots {
		return max(coldWait, a.reservedWait(now, r, d))
	}
	for _, w := range before {
		ahead += a.expectedWork(w.Route)
	}
	return max(ahead/time.Duration(a.slots), a.reservedWait(now, r, d), coldWait)
}

// queuedBefore returns the queued attempts that are served before an arriving one. Of a level that is served below its floor, only
// as many as it is entitled to are served ahead of more urgent ones.
func (a *Admission) queuedBefore(now clock.Time, r *room, d Demand) []*waiter {
	expected := *r
	for _, w := range a.queue {
		if w.level() == d.level() && expected.entitled[d.level()] > 0 {
			expected.entitled[d.level()]--
		}
	}
	arriving := &waiter{Demand: d, arrived: now}
	var before []*waiter
	for _, w := range a.queue {
		if a.before(now, &expected, arriving, w) {
			continue
		}
		if w.class() > d.class() {
			expected.entitled[w.level()]--
		}
		before = append(before, w)
	}
	return before
}
