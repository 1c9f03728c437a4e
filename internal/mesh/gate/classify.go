package gate

import (
	"context"
	"errors"
	"io"
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
	"buckthornlatch.example/buckthornlatch/internal/mesh/targetconn"
)

// classify converts the target's response to a result. It releases the slot, for a streamed response when the body is
// closed.
func (e *execution) classify(ctx context.Context, r *targetconn.Response, err error) *link.Result {
	if err != nil {
		return e.classifyError(ctx, err)
	}
	headers := e.gate.config.Headers
	_, notRun := r.Header[headers.NotRun]
	_, sealed := r.Header[headers.Seal]
	switch {
	case r.Status == http.StatusMisdirectedRequest:
		e.markMisdirected()
		e.releaseSlot(slots.Cancelled)
		return newRefusal(link.TargetReplaced, 0)
	case notRun:
		e.releaseSlot(slots.Declined)
		return newRefusal(link.TargetDeclined, 0)
	case r.Status < 300 && !sealed:
		e.releaseSlot(slots.Broken)
		return &link.Result{Verdict: hop.Unknown, Reason: link.TargetBroken, Err: errUnsealed}
	}
	result := &link.Result{
		Verdict: hop.Ran, Reason: link.Answered, Status: r.Status, Header: r.Header, Body: r.Body, Length: r.Length,
	}
	outcome := outcomeOf(r.Status)
	if r.Rest == nil {
		e.releaseSlot(outcome)
		return result
	}
	result.Rest = &slotHolder{ReadCloser: r.Rest, done: func(err error) { e.endStream(ctx, outcome, err) }}
	return result
}

// endStream releases the slot of an attempt whose response was streamed. A response that the target broke off is no
// success, and like any other one it may be the sign of a crash.
func (e *execution) endStream(ctx context.Context, outcome slots.Outcome, err error) {
	defer e.stop()
	broken := err != nil && err != io.EOF && ctx.Err() == nil
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		outcome = slots.TimedOut
	case broken:
		outcome = slots.Broken
	case err != io.EOF:
		outcome = slots.Cancelled
	}
	e.releaseSlot(outcome)
	if broken && e.targetCrashed(ctx) {
		e.gate.config.CrashEvidence.Crashed()
	}
	e.gate.config.CrashEvidence.Ended(e.fingerprint, err == io.EOF)
}

// errUnsealed reports a successful response without the target's seal.
var errUnsealed = errors.New("the successful response has no seal")

// outcomeOf returns the outcome of an attempt with a complete response.
func outcomeOf(status int) slots.Outcome {
	switch {
	case status == http.StatusGatewayTimeout:
		return slots.TimedOut
	case status >= http.StatusInternalServerError:
		return slots.Failed
	}
	return slots.Succeeded
}

// classifyError converts a failed exchange to a result and releases the slot.
func (e *execution) classifyError(ctx context.Context, err error) *link.Result {
	var failure *targetconn.Error
	sent := !errors.As(err, &failure) || failure.Sent
	result := &link.Result{Verdict: hop.NotRun, Reason: link.TargetBroken, Err: err}
	if sent {
		result.Verdict = hop.Unknown
	}
	var forbidden *forbiddenError
	switch {
	case errors.As(err, &forbidden):
		e.releaseSlot(slots.Cancelled)
		result.Reason = forbidden.reason
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.releaseSlot(slots.TimedOut)
		result.Reason = link.OutOfTime
	case errors.Is(context.Cause(ctx), errStopped):
		e.releaseSlot(slots.Cancelled)
		result.Reason = link.GateStopped
	case ctx.Err() != nil:
		e.releaseSlot(slots.Cancelled)
		result.Reason = link.Ended
	default:
		e.releaseSlot(slots.Broken)
	}
	return result
}

// signalReclaim notifies the running attempt, if any, that the decision proposes to give up. The lock must be held.
func (g *Gate) signalReclaim(d slots.Decision) {
	if !d.HasReclaim {
		return
	}
	if e := g.running[d.Reclaim]; e != nil {
		e.reclaim <- struct{}{}
	}
}

// markMisdirected stops the use of the target's address after another process responded there.
func (e *execution) markMisdirected() {
	g := e.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == e.target && !g.target.misdirected {
		g.target.misdirected = true
		g.config.EventLog.Warn().Str("target", e.target.incarnation.ID).Msg("gate: another process answers at the target's address")
		g.updateAdmission()
	}
}
