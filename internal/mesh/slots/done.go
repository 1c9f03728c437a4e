package slots

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Done frees the slot of an attempt, records its outcome and serves the queue.
func (a *Admission) Done(now clock.Time, attempt ID, outcome Outcome) []Turn {
	r := a.running[attempt]
	if r == nil {
		return nil
	}
	delete(a.running, attempt)
	took := now.Sub(r.started)
	a.usage.Add(now, r.Customer, took)
	a.recordOutcome(now, r, outcome, took)
	return a.serveQueue(now)
}

// recordOutcome updates the estimates and the suspicion with the outcome of an attempt.
func (a *Admission) recordOutcome(now clock.Time, r *running, outcome Outcome, took time.Duration) {
	switch outcome {
	case Succeeded:
		a.observe(r.Route, took)
		a.timeouts.succeeded(r.Route)
		a.countLaterSuccess(r.started)
		if !r.overdue {
			a.suspicion.recordSuccess(now)
		}
	case Failed, Declined, Broken:
		a.suspicion.recordFailure(now, failureWeight)
	case TimedOut:
		// A timeout before the overdue limit comes from a short deadline and says nothing about the target.
		if limit, known := a.overdueLimit(r.Demand); known && took >= limit {
			a.timeouts.timedOut(r.Route)
			a.recordOverdue(now, r)
		}
	case Cancelled:
	}
}

// observe adds a sample to the estimates.
func (a *Admission) observe(route id.RouteID, took time.Duration) {
	a.estimates.Observe(route, took)
	a.all.Observe(took)
}

// recordOverdue counts a running attempt that exceeded its limit against the target, once.
func (a *Admission) recordOverdue(now clock.Time, r *running) {
	if r.overdue {
		return
	}
	r.overdue = true
	a.suspicion.recordFailure(now, overdueWeight)
}

// MarkOverdue counts a running attempt as overdue. It returns false if the attempt no longer runs.
func (a *Admission) MarkOverdue(now clock.Time, attempt ID) bool {
	r := a.running[attempt]
	if r != nil {
		a.recordOverdue(now, r)
	}
	return r != nil
}
