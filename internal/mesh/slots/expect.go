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
	return defaultOverdue
}

// overdueLimit returns the duration from which an attempt counts as overdue, if enough is known: by the gate's own
// samples, by those of the entry, by all work with a margin, or by a part of the objective, which operators set at two to
// four times the usual duration.
func (a *Admission) overdueLimit(d Demand) (time.Duration, bool) {
	if e := a.estimates[d.Route]; e.Known() {
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

// Expected returns the usual duration of a route's work.
func (a *Admission) Expected(route id.RouteID) time.Duration {
	if e := a.estimates[route]; e.Known() {
		return e.Mean()
	}
	if a.all.Known() {
		return a.all.Mean()
	}
	return defaultExpected
}

// needed returns the time that must be left for an attempt to be useful; zero for a route without samples, since
// nothing is known of its work.
func (a *Admission) needed(route id.RouteID) time.Duration {
	e := a.estimates[route]
	if !e.Known() {
		return 0
	}
	return time.Duration(workMargin * float64(e.Mean()))
}

// expectedWait returns the time until an attempt would have its turn. With n slots in use, one becomes free after about
// the n-th part of the work that an average run has left, and then after the n-th part of each work that is served first.
func (a *Admission) expectedWait(now clock.Time, d Demand) time.Duration {
	if a.fits(now, d) && !a.overtaken(d) {
		return 0
	}
	var ahead time.Duration
	for _, r := range a.running {
		usual := a.Expected(r.Route)
		ahead += max(usual-now.Sub(r.started), time.Duration(leastLeft*float64(usual)))
	}
	ahead /= time.Duration(max(len(a.running), 1))
	for _, w := range a.queue {
		if w.class() <= d.class() {
			ahead += a.Expected(w.Route)
		}
	}
	return ahead / time.Duration(a.slots)
}
