package gate

import (
	"context"
	"errors"
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
	"buckthornlatch.example/buckthornlatch/internal/mesh/targetconn"
)

// judge converts the target's answer and frees the slot.
func (w *work) judge(ctx context.Context, r *targetconn.Response, err error) *link.Result {
	if err != nil {
		return w.broken(ctx, err)
	}
	headers := w.gate.config.Headers
	_, notRun := r.Header[headers.NotRun]
	_, sealed := r.Header[headers.Seal]
	switch {
	case r.Status == http.StatusMisdirectedRequest:
		w.misdirected()
		w.done(slots.Cancelled)
		return refused(link.TargetReplaced, 0)
	case notRun:
		w.done(slots.Declined)
		return refused(link.TargetDeclined, 0)
	case r.Status < 300 && !sealed:
		w.done(slots.Broken)
		return &link.Result{Verdict: hop.Unknown, Reason: link.TargetBroken, Err: errUnsealed}
	}
	result := &link.Result{
		Verdict: hop.Ran, Reason: link.Answered, Status: r.Status, Header: r.Header, Body: r.Body, Length: r.Length,
	}
	outcome := outcomeOf(r.Status)
	if r.Rest == nil {
		w.done(outcome)
		return result
	}
	result.Rest = &slotHolder{ReadCloser: r.Rest, done: func() { w.done(outcome); w.release() }}
	return result
}

// errUnsealed reports a success that does not bear the target's seal.
var errUnsealed = errors.New("the success bears no seal")

// outcomeOf is the evidence of a complete answer.
func outcomeOf(status int) slots.Outcome {
	switch {
	case status == http.StatusGatewayTimeout:
		return slots.TimedOut
	case status >= http.StatusInternalServerError:
		return slots.Failed
	}
	return slots.Succeeded
}

// broken describes an exchange without a usable answer.
func (w *work) broken(ctx context.Context, err error) *link.Result {
	var failure *targetconn.Error
	sent := !errors.As(err, &failure) || failure.Sent
	result := &link.Result{Verdict: hop.NotRun, Reason: link.TargetBroken, Err: err}
	if sent {
		result.Verdict = hop.Unknown
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		w.done(slots.TimedOut)
		result.Reason = link.OutOfTime
	case errors.Is(context.Cause(ctx), errStopped):
		w.done(slots.Cancelled)
		result.Reason = link.GateStopped
	case ctx.Err() != nil:
		w.done(slots.Cancelled)
		result.Reason = link.Ended
	default:
		w.done(slots.Broken)
	}
	return result
}

// offer tells the entry of an attempt that the slots would give up. The lock is held.
func (g *Gate) offer(d slots.Decision) {
	if !d.Reclaims {
		return
	}
	if w := g.working[d.Reclaim]; w != nil {
		w.hopeless <- struct{}{}
	}
}

// misdirected stops the use of an address at which another process answers.
func (w *work) misdirected() {
	g := w.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == w.target && !g.target.misdirected {
		g.target.misdirected = true
		g.config.Events.Warn().Str("target", w.target.incarnation.ID).Msg("gate: another process answers for the target")
		g.admit()
	}
}
