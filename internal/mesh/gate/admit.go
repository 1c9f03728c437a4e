package gate

import (
	"context"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/customers"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

// admit acquires a slot, waiting for one if necessary. It returns nil once the attempt has a slot, otherwise the
// refusal.
func (e *execution) admit(ctx context.Context) *link.Result {
	g := e.gate
	a := e.attempt
	g.mu.Lock()
	if g.draining {
		g.mu.Unlock()
		return newRefusal(link.GateDraining, 0)
	}
	now := g.config.Clock.Now()
	g.nextID++
	e.demand = slots.Demand{
		ID: g.nextID, Route: a.Route, Customer: a.Customer, Rank: a.Rank, Nested: a.Nested, Idempotent: a.Idempotent, Repeat: a.Repeat,
		Forced: a.Forced, Remaining: a.Remaining, Objective: a.Objective, MaxQueueWait: a.MaxQueueWait,
		OverdueAfter: a.OverdueAfter, CustomerWork: a.CustomerWork, Entry: customers.Reporter(a.Entry),
	}
	decision := slots.Decision{Kind: slots.Refuse, Reason: slots.NoTarget}
	if a.Service == g.config.Service {
		decision = g.slots.Admit(now, e.demand)
		g.signalReclaim(decision)
		e.reserved = decision.Reserved
		if decision.HasDisplaced {
			g.deliver([]slots.Turn{{ID: decision.Displaced, Reason: slots.Full}})
		}
		g.scheduleRecheck()
	}
	if decision.Kind == slots.Run {
		g.running[e.demand.ID] = e
	}
	e.target = g.target
	var turn chan slots.Turn
	if decision.Kind == slots.Wait {
		turn = make(chan slots.Turn, 1)
		g.waiting[e.demand.ID] = turn
		g.scheduleServe()
	}
	refusedFor := g.reasonOf(decision.Reason)
	g.mu.Unlock()
	switch decision.Kind {
	case slots.Run:
		return nil
	case slots.Refuse:
		return newRefusal(refusedFor, decision.RetryAfter)
	}
	e.signals.Queued()
	return e.awaitSlot(ctx, turn)
}

// awaitSlot waits until the attempt has its turn, its MaxQueueWait has passed or ctx ends.
func (e *execution) awaitSlot(ctx context.Context, turn chan slots.Turn) *link.Result {
	timer := time.NewTimer(e.attempt.MaxQueueWait)
	defer timer.Stop()
	reason := link.Reason(slots.Full)
	select {
	case t := <-turn:
		return e.endWait(t)
	case <-timer.C:
	case <-ctx.Done():
		reason = link.OutOfTime
	}
	g := e.gate
	g.mu.Lock()
	abandoned := g.slots.Abandon(e.demand.ID)
	if abandoned {
		delete(g.waiting, e.demand.ID)
	}
	g.mu.Unlock()
	if abandoned {
		return newRefusal(reason, 0)
	}
	return e.endWait(<-turn)
}

// endWait returns nil if the turn gives the attempt a slot, otherwise the refusal.
func (e *execution) endWait(t slots.Turn) *link.Result {
	e.gate.mu.Lock()
	if !t.Run {
		defer e.gate.mu.Unlock()
		return newRefusal(e.gate.reasonOf(t.Reason), 0)
	}
	e.target = e.gate.target
	e.gate.running[e.demand.ID] = e
	e.gate.mu.Unlock()
	return nil
}

// recheck checks before dispatch that ctx, the gate and the target still permit the attempt. They may have changed since
// the attempt was queued or admitted.
func (e *execution) recheck(ctx context.Context) *link.Result {
	if reason, hindered := e.hindrance(ctx, false); hindered {
		return newRefusal(reason, 0)
	}
	return nil
}

// hindrance returns why the attempt may not be sent, or not be sent on if it has begun. The clock comes last, since what is
// sent after a pause behind it is sent late.
func (e *execution) hindrance(ctx context.Context, began bool) (reason link.Reason, hindered bool) {
	g := e.gate
	left := hangup.Left(ctx)
	if !began {
		reason, hindered = g.closedFor(e.target)
	}
	// After a pause of the process, the timer of ctx may not have fired yet; it does not count a suspension at all.
	switch {
	case ctx.Err() != nil || !g.config.Clock.Now().Before(e.expires):
		return link.OutOfTime, true
	case left:
		return link.Ended, true
	}
	return reason, hindered
}

// closedFor returns why no attempt may be sent to a target.
func (g *Gate) closedFor(t *target) (reason link.Reason, closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.draining:
		return link.GateDraining, true
	case g.domain == domainEvacuated:
		return link.Evacuated, true
	case g.target != t || !g.present || !g.target.acceptsAttempts():
		return link.Reason(slots.NoTarget), true
	}
	return "", false
}

// acceptsAttempts reports whether attempts may be sent to the target.
func (t *target) acceptsAttempts() bool {
	return t.state == roster.Serving && t.announced && !t.misdirected && !t.earlierStartLeaves
}
