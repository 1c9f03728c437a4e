package gate

import (
	"context"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/crashes"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

const (
	// keptBody is the part of a body that is read before the target gets the attempt, in bytes. A body that breaks
	// off within it leaves the attempt not run.
	keptBody = 256 << 10
	// bodyWait bounds the time in which an entry must send that part while a slot is held for it.
	bodyWait = time.Second
	// answerMargin is taken off the time that the target is given, so that its last answer reaches the caller.
	answerMargin = 15 * time.Millisecond
)

// work is one attempt at the gate.
type work struct {
	gate    *Gate
	attempt *link.Attempt
	demand  slots.Demand
	arrived time.Time
	// started is when the attempt got its slot; zero before.
	started time.Time
	target  *target
	signals link.Signals
	// cancel ends the exchange with the target.
	cancel context.CancelCauseFunc
	// release frees the resources of the attempt's context, and ends the exchange too.
	release func()
	// hopeless receives one value when the admission would give the attempt up; it never blocks the sender.
	hopeless chan struct{}
}

// Do runs an attempt and returns what became of it. Cancelling ctx ends it.
func (g *Gate) Do(ctx context.Context, a *link.Attempt, signals link.Signals) *link.Result {
	w := &work{gate: g, attempt: a, signals: signals, arrived: time.Now(), hopeless: make(chan struct{}, 1)}
	ctx, w.cancel = context.WithCancelCause(ctx)
	ctx, stopTimer := context.WithTimeout(ctx, a.Remaining)
	w.release = func() {
		stopTimer()
		w.cancel(nil)
	}
	result := w.run(ctx)
	if result.Rest == nil {
		w.release()
	}
	g.mu.Lock()
	result.Load, result.LoadKnown = g.load(), true
	g.mu.Unlock()
	result.Policy = g.config.Version()
	w.log(result)
	return result
}

// run admits the attempt and hands it to the target.
func (w *work) run(ctx context.Context) *link.Result {
	if refusal := w.admit(ctx); refusal != nil {
		return refusal
	}
	w.started = time.Now()
	// A gate that asks for the body shows by it that it has the attempt.
	if w.attempt.Body.Repeatable() {
		w.signals.Started()
	} else if refusal := w.fetchBody(ctx); refusal != nil {
		w.done(slots.Cancelled)
		return refusal
	}
	if refusal := w.permit(ctx); refusal != nil {
		w.done(slots.Cancelled)
		return refusal
	}
	return w.handOver(ctx)
}

// handOver gives the attempt to the target unless its request is known to crash targets, and takes a crash as evidence.
func (w *work) handOver(ctx context.Context) *link.Result {
	evidence := w.gate.config.Evidence
	fingerprint := crashes.Fingerprint(w.attempt)
	if evidence.Any() && evidence.Quarantined(fingerprint) {
		w.done(slots.Cancelled)
		return refused(link.Quarantined, 0)
	}
	evidence.Started(fingerprint)
	result := w.exchange(ctx)
	if result.Verdict == hop.Unknown && result.Reason == link.TargetBroken && w.crashed(ctx) {
		evidence.Crashed()
	}
	evidence.Ended(fingerprint, result.Verdict == hop.Ran)
	return result
}

// crashed reports whether the target refuses connections after it broke an attempt off, without having said that it
// leaves. A target that resets some of its connections still accepts new ones.
func (w *work) crashed(ctx context.Context) bool {
	w.gate.mu.Lock()
	leaving := w.target.state != roster.Serving
	w.gate.mu.Unlock()
	if leaving || !w.target.pool.RefusesConnections(ctx) {
		return false
	}
	w.gate.config.Events.Warn().Str("target", w.target.incarnation.ID).Str("request", w.attempt.RequestID).Msg("gate: target crashed")
	return true
}

// done frees the slot.
func (w *work) done(outcome slots.Outcome) {
	g := w.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.working, w.demand.ID)
	g.answer(g.slots.Done(g.config.Clock.Now(), w.demand.ID, outcome))
}

// refused is an attempt that did not reach the target.
func refused(reason link.Reason, retryAfter time.Duration) *link.Result {
	return &link.Result{Verdict: hop.NotRun, Reason: reason, RetryAfter: retryAfter}
}
