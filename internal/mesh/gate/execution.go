package gate

import (
	"context"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/crashes"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

const (
	// bodyPrefetchTimeout bounds the time for reading the beginning of a request body, because a slot is held meanwhile.
	bodyPrefetchTimeout = time.Second
	// deadlineMargin is subtracted from the time that the target is given, so that a response at the last moment still
	// reaches the caller.
	deadlineMargin = 15 * time.Millisecond
	// lateAnswerMargin is how long after the attempt's deadline the gate still waits: a target that ends the work then may take some
	// time to say so. The entry ends the attempt sooner if its caller has left.
	lateAnswerMargin = 75 * time.Millisecond
)

// execution is the processing of one attempt by the gate.
type execution struct {
	gate    *Gate
	attempt *link.Attempt
	demand  slots.Demand
	// reserved is the number of slots that were reserved for more urgent attempts, if the attempt found no slot.
	reserved int
	arrived  time.Time
	// expires is when Remaining is used up, suspended time included.
	expires clock.Time
	// started is when the attempt got its slot, zero until then.
	started time.Time
	// workEnds is when the target is to end the work, at the latest when Remaining is used up.
	workEnds clock.Time
	target   *target
	signals  link.Signals
	// fingerprint identifies the request in the evidence of crashes.
	fingerprint string
	// cancel ends the exchange with the target.
	cancel context.CancelCauseFunc
	// stop releases the resources of the attempt's context, which also ends the exchange.
	stop func()
	// reclaim receives a value when the admission proposes to give the attempt up. It does so at most once, so that a
	// buffer of one never blocks the sender.
	reclaim chan struct{}
}

// Do runs an attempt and returns its result. Cancelling ctx ends the attempt.
func (g *Gate) Do(ctx context.Context, a *link.Attempt, signals link.Signals) *link.Result {
	e := &execution{
		gate: g, attempt: a, signals: signals, arrived: time.Now(), expires: g.config.Clock.Now().Add(a.Remaining), reclaim: make(chan struct{}, 1),
	}
	ctx, e.cancel = context.WithCancelCause(ctx)
	ctx, stopTimer := context.WithTimeout(ctx, a.Remaining+lateAnswerMargin)
	e.stop = func() {
		stopTimer()
		e.cancel(nil)
	}
	result := e.run(ctx)
	if result.Rest == nil {
		e.stop()
	}
	g.mu.Lock()
	result.Load, result.LoadKnown = g.load(), true
	g.mu.Unlock()
	result.Policy = g.config.PolicyVersion()
	e.log(result)
	return result
}

// run admits the attempt and sends it to the target.
func (e *execution) run(ctx context.Context) *link.Result {
	if e.attempt.Remaining <= 0 {
		return newRefusal(link.OutOfTime, 0)
	}
	if refusal := e.admit(ctx); refusal != nil {
		return refusal
	}
	e.started = time.Now()
	// Reading a body that is held back makes net/http send 100 Continue, which the entry takes for Started.
	if !e.attempt.BodyHeld {
		e.signals.Started()
	}
	if refusal := e.fetchBody(ctx); refusal != nil {
		e.releaseSlot(slots.Cancelled)
		return refusal
	}
	if refusal := e.recheck(ctx); refusal != nil {
		e.releaseSlot(slots.Cancelled)
		return refusal
	}
	return e.dispatch(ctx)
}

// dispatch sends the attempt to the target unless its request is quarantined. It records a crash as evidence.
func (e *execution) dispatch(ctx context.Context) *link.Result {
	evidence := e.gate.config.CrashEvidence
	e.fingerprint = crashes.Fingerprint(e.attempt)
	if evidence.Any() && evidence.Quarantined(e.fingerprint) {
		e.releaseSlot(slots.Cancelled)
		return newRefusal(link.Quarantined, 0)
	}
	evidence.Started(e.fingerprint)
	result := e.exchange(ctx)
	if result.Rest != nil {
		return result
	}
	if result.Verdict == hop.Unknown && result.Reason == link.TargetBroken && e.targetCrashed(ctx) {
		evidence.Crashed()
	}
	evidence.Ended(e.fingerprint, result.Verdict == hop.Ran)
	return result
}

// targetCrashed reports whether the target refuses connections after it broke off an attempt, without having announced
// that it is draining or gone. A target that merely resets some of its connections still accepts new ones.
func (e *execution) targetCrashed(ctx context.Context) bool {
	e.gate.mu.Lock()
	leaving := e.target.state != roster.Serving
	e.gate.mu.Unlock()
	if leaving || !e.target.pool.RefusesConnections(ctx) {
		return false
	}
	e.gate.config.EventLog.Warn().Str("target", e.target.incarnation.ID).Str("request", e.attempt.RequestID).Msg("gate: target crashed")
	return true
}

// releaseSlot releases the slot of the attempt and reports its outcome to the admission.
func (e *execution) releaseSlot(outcome slots.Outcome) {
	g := e.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, e.demand.ID)
	g.deliver(g.slots.Done(g.config.Clock.Now(), e.demand.ID, outcome))
	g.scheduleRecheck()
	g.recordReserved()
}

// newRefusal returns the result of an attempt that did not run.
func newRefusal(reason link.Reason, retryAfter time.Duration) *link.Result {
	return &link.Result{Verdict: hop.NotRun, Reason: reason, RetryAfter: retryAfter}
}
