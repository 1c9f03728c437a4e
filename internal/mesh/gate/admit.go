package gate

import (
	"context"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

// admit waits for a slot. It returns nil when the attempt has one.
func (w *work) admit(ctx context.Context) *link.Result {
	g := w.gate
	a := w.attempt
	g.mu.Lock()
	if g.draining {
		g.mu.Unlock()
		return refused(link.GateDraining, 0)
	}
	now := g.config.Clock.Now()
	g.nextID++
	w.demand = slots.Demand{
		ID: g.nextID, Route: a.Route, Customer: a.Customer, Rank: a.Rank, Nested: a.Nested, Idempotent: a.Idempotent, Repeat: a.Repeat,
		Forced: a.Forced, Remaining: a.Remaining, Objective: a.Objective, Patience: a.Patience,
		OverdueAfter: a.OverdueAfter,
	}
	decision := slots.Decision{Kind: slots.Refuse, Reason: slots.NoTarget}
	if a.Service == g.config.Service {
		decision = g.slots.Arrive(now, w.demand)
		g.offer(decision)
	}
	if decision.Kind == slots.Run {
		g.working[w.demand.ID] = w
	}
	w.target = g.target
	var turn chan slots.Turn
	if decision.Kind == slots.Wait {
		turn = make(chan slots.Turn, 1)
		g.waiting[w.demand.ID] = turn
	}
	g.mu.Unlock()
	switch decision.Kind {
	case slots.Run:
		return nil
	case slots.Refuse:
		return refused(link.Reason(decision.Reason), decision.RetryAfter)
	}
	w.signals.Queued()
	return w.wait(ctx, turn)
}

// wait waits for the attempt's turn.
func (w *work) wait(ctx context.Context, turn chan slots.Turn) *link.Result {
	patience := time.NewTimer(w.attempt.Patience)
	defer patience.Stop()
	reason := link.Reason(slots.Full)
	select {
	case t := <-turn:
		return w.turn(t)
	case <-patience.C:
	case <-ctx.Done():
		reason = link.OutOfTime
	}
	g := w.gate
	g.mu.Lock()
	abandoned := g.slots.Abandon(w.demand.ID)
	if abandoned {
		delete(g.waiting, w.demand.ID)
	}
	g.mu.Unlock()
	if abandoned {
		return refused(reason, 0)
	}
	return w.turn(<-turn)
}

// turn ends the wait.
func (w *work) turn(t slots.Turn) *link.Result {
	if !t.Run {
		return refused(link.Reason(t.Reason), 0)
	}
	w.gate.mu.Lock()
	w.target = w.gate.target
	w.gate.working[w.demand.ID] = w
	w.gate.mu.Unlock()
	return nil
}

// permit is the last check before the first byte reaches the target.
func (w *work) permit(ctx context.Context) *link.Result {
	if ctx.Err() != nil {
		return refused(link.OutOfTime, 0)
	}
	g := w.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return refused(link.GateDraining, 0)
	}
	if g.target != w.target || !g.target.takesWork() {
		return refused(link.Reason(slots.NoTarget), 0)
	}
	return nil
}

// takesWork reports whether attempts may be handed to the target.
func (t *target) takesWork() bool {
	return t.state == roster.Serving && !t.misdirected
}
