package slots

import (
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// Admit decides whether a new attempt runs, waits or is refused.
func (a *Admission) Admit(now clock.Time, d Demand) Decision {
	if d.Customer != "" && d.CustomerWork > 0 {
		a.reports.Hear(now, d.Customer, d.Entry, d.CustomerWork)
	}
	decision := a.decide(now, d)
	a.demand.add(now, d, a.expectedWork(d.Route), decision.Kind == Refuse)
	a.floor.arrive(now, d, decision.Kind)
	if decision.Kind == Wait || decision.Reason == Full {
		decision.Reclaim, decision.HasReclaim = a.reclaim(now)
	}
	return decision
}

// decide is Admit without the record of demand and without reclaiming a slot.
func (a *Admission) decide(now clock.Time, d Demand) Decision {
	if !a.open {
		return Decision{Kind: Refuse, Reason: NoTarget}
	}
	if d.Remaining < a.minRemaining(d.Route) {
		return Decision{Kind: Refuse, Reason: TooLate}
	}
	room := a.room(now)
	reserved := room.reservedBefore(d)
	full := !a.fits(room, d) || a.queuedAhead(now, room, d)
	var wait time.Duration
	if full {
		wait = a.expectedWait(now, room, d)
	}
	if a.outlastsStop(now.Add(wait), d) {
		return Decision{Kind: Refuse, Reason: Stopping}
	}
	if full && (d.MaxQueueWait <= 0 || wait > d.MaxQueueWait || !a.mayQueue(now, room, d)) {
		return Decision{Kind: Refuse, Reason: Full, RetryAfter: max(wait, minRetryAfter), Reserved: reserved}
	}
	if !a.suspicion.allows(now, d) {
		return Decision{Kind: Refuse, Reason: Suspected, RetryAfter: trialInterval}
	}
	if d.Repeat && !a.repeats.ask(now, d.level()) {
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
		decision := Decision{Kind: Wait, Reserved: reserved}
		decision.Displaced, decision.HasDisplaced = a.displace(now, room)
		return decision
	}
	a.repeats.spend(d)
	a.start(now, d)
	return Decision{Kind: Run}
}

// queuedAhead reports whether an attempt that is served first is queued and about to get a slot. Those that wait for a
// reserved slot do not delay an attempt that fits beside the reservation.
func (a *Admission) queuedAhead(now clock.Time, r *room, d Demand) bool {
	arriving := &waiter{Demand: d, arrived: now}
	for _, w := range a.queue {
		if a.fits(r, w.Demand) && !a.before(now, r, arriving, w) {
			return true
		}
	}
	return false
}

// mayQueue reports whether there is room in the queue for an attempt, or it would be served before one that is queued.
func (a *Admission) mayQueue(now clock.Time, r *room, d Demand) bool {
	arriving := &waiter{Demand: d, arrived: now}
	return len(a.queue) < maxQueue || slices.ContainsFunc(a.queue, func(w *waiter) bool { return a.before(now, r, arriving, w) })
}

// start occupies a slot.
func (a *Admission) start(now clock.Time, d Demand) {
	invariant.Check(len(a.running) < a.slots, "slots-not-exceeded", "%d of %d slots in use", len(a.running), a.slots)
	a.running[d.ID] = &running{Demand: d, started: now}
	a.floor.start(d)
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
