package slots

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/worktime"
)

// Done frees the slot of an attempt, takes its outcome as evidence and serves the queue.
func (a *Admission) Done(now clock.Time, attempt ID, outcome Outcome) []Turn {
	r := a.running[attempt]
	if r == nil {
		return nil
	}
	delete(a.running, attempt)
	took := now.Sub(r.started)
	a.usage.add(now, r.Customer, took)
	a.judge(now, r, outcome, took)
	return a.pump(now)
}

// judge takes an outcome as evidence.
func (a *Admission) judge(now clock.Time, r *running, outcome Outcome, took time.Duration) {
	switch outcome {
	case Succeeded:
		a.observe(r.Route, took)
		a.overtake(r.started)
		if !r.overdue {
			a.suspicion.praise(now)
		}
	case Failed, Declined, Broken:
		a.suspicion.blame(now, failureWeight)
	case TimedOut:
		// A caller that waits only a short time says nothing about the target.
		if limit, known := a.overdueLimit(r.Demand); known && took >= limit {
			a.Overdue(now, r)
		}
	case Cancelled:
	}
}

// observe adds a sample to the estimates.
func (a *Admission) observe(route id.RouteID, took time.Duration) {
	e := a.estimates[route]
	if e == nil {
		e = &worktime.Estimate{}
		a.estimates[route] = e
	}
	e.Observe(took)
	a.all.Observe(took)
}

// Overdue takes a running attempt that exceeded its limit as evidence, once.
func (a *Admission) Overdue(now clock.Time, r *running) {
	if r.overdue {
		return
	}
	r.overdue = true
	a.suspicion.blame(now, overdueWeight)
}

// MarkOverdue is Overdue by id. It reports whether the attempt still runs.
func (a *Admission) MarkOverdue(now clock.Time, attempt ID) bool {
	r := a.running[attempt]
	if r != nil {
		a.Overdue(now, r)
	}
	return r != nil
}
