package slots

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// Admit decides whether a new attempt runs, waits or is refused.
func (a *Admission) Admit(now clock.Time, d Demand) Decision {
	decision := a.decide(now, d)
	if d.Nested {
		a.nested.add(now, a.expectedWork(d.Route), decision.Kind == Refuse)
	}
	if decision.Kind == Wait || decision.Reason == Full {
		decision.Reclaim, decision.HasReclaim = a.reclaim(now)
	}
	return decision
}

// decide is Admit without the record of nested load and without reclaiming a slot.
func (a *Admission) decide(now clock.Time, d Demand) Decision {
	if !a.open {
		return Decision{Kind: Refuse, Reason: NoTarget}
	}
	if d.Remaining < a.minRemaining(d.Route) {
		return Decision{Kind: Refuse, Reason: TooLate}
	}
	full := !a.fits(now, d) || a.queuedAhead(d)
	wait := a.expectedWait(now, d)
	if a.outlastsStop(now.Add(wait), d) {
		return Decision{Kind: Refuse, Reason: Stopping}
	}
	if full && (wait > d.MaxQueueWait || len(a.queue) >= maxQueue) {
		return Decision{Kind: Refuse, Reason: Full, RetryAfter: max(wait, minRetryAfter)}
	}
	if !a.suspicion.allows(now, d) {
		return Decision{Kind: Refuse, Reason: Suspected, RetryAfter: trialInterval}
	}
	if d.Repeat && !a.repeats.available(now) {
		return Decision{Kind: Refuse, Reason: RepeatsUsedUp}
	}
	if !d.Repeat && d.Customer != "" {
		a.repeats.credit()
	}
	if !d.Forced {
		a.suspicion.tried(now)
	}
	if full {
		a.queue = append(a.queue, &waiter{Demand: d, arrived: now})
		return Decision{Kind: Wait}
	}
	a.repeats.spend(d)
	a.start(now, d)
	return Decision{Kind: Run}
}

// fits reports whether a slot is free for the attempt. Some slots are reserved for nested attempts.
func (a *Admission) fits(now clock.Time, d Demand) bool {
	if len(a.running) >= a.slots || now.Before(a.warmUp.due(now)) {
		return false
	}
	if d.Nested {
		return true
	}
	others := 0
	for _, r := range a.running {
		if !r.Nested {
			others++
		}
	}
	return others < a.slots-a.nested.reserve(now, a.slots)
}

// queuedAhead reports whether an attempt of the same or a more urgent class is queued.
func (a *Admission) queuedAhead(d Demand) bool {
	for _, w := range a.queue {
		if w.class() <= d.class() {
			return true
		}
	}
	return false
}

// start occupies a slot.
func (a *Admission) start(now clock.Time, d Demand) {
	invariant.Check(len(a.running) < a.slots, "slots-not-exceeded", "%d of %d slots in use", len(a.running), a.slots)
	a.running[d.ID] = &running{Demand: d, started: now}
	a.warmUp.started(now)
}

// Abandon removes an attempt from the queue. It returns false if the attempt is no longer queued.
func (a *Admission) Abandon(attempt ID) bool {
	for i, w := range a.queue {
		if w.ID == attempt {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return true
		}
	}
	return false
}
