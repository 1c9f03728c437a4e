package gate

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/invariant"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/targetconn"
)

// exchange sends the attempt to the target and waits for the response.
func (e *execution) exchange(ctx context.Context) *link.Result {
	type outcome struct {
		response *targetconn.Response
		err      error
	}
	outcomes := make(chan outcome, 1)
	e.limitWork()
	request := e.request(ctx)
	go func() {
		response, err := e.target.pool.Do(ctx, request)
		outcomes <- outcome{response, err}
	}()
	e.gate.mu.Lock()
	limit := e.gate.slots.OverdueAfter(e.demand)
	e.gate.mu.Unlock()
	overdue := time.NewTimer(limit)
	defer overdue.Stop()
	for {
		select {
		case got := <-outcomes:
			return e.classify(ctx, got.response, got.err)
		case <-overdue.C:
			e.gate.mu.Lock()
			e.gate.slots.MarkOverdue(e.gate.config.Clock.Now(), e.demand.ID)
			e.gate.mu.Unlock()
			e.signals.Overdue()
		case <-e.reclaim:
			e.signals.CancelAdvised()
		}
	}
}

// limitWork sets when the target is to end the work. A host that is stopped waits a limited time for the answers to its callers, and
// a stop may begin at any moment: a target that hangs for longer would leave it no answer to give. A body that is still being
// received has no such limit, since its sender sets the pace.
func (e *execution) limitWork() {
	g := e.gate
	now := g.config.Clock.Now()
	g.mu.Lock()
	limit := g.slots.WorkLimit(e.demand, g.config.StopTime())
	stopping, stopEnds := g.stopping, g.stopEnds
	g.mu.Unlock()
	e.workEnds = e.expires
	if limit > 0 && e.attempt.Body.Whole() {
		e.workEnds = min(e.workEnds, now.Add(limit))
	}
	if stopping {
		e.workEnds = min(e.workEnds, stopEnds)
	}
}

// request builds the request to the target.
func (e *execution) request(ctx context.Context) *targetconn.Request {
	a, headers := e.attempt, e.gate.config.Headers
	header := a.Header.Clone()
	headers.StripUntrusted(header)
	header[headers.Target] = []string{e.target.incarnation.ID}
	header[headers.Caller] = []string{string(a.Caller)}
	if a.Customer != "" {
		header[headers.Customer] = []string{string(a.Customer)}
	}
	_, hasKey := header["Authorization"]
	invariant.Check(!hasKey, "no-key-at-target", "attempt of request %s carries a key", a.RequestID)
	return &targetconn.Request{
		Method: a.Method, URI: a.URI, Host: a.Host, Header: header,
		Body: a.Body.Data, Rest: a.Body.Rest, Length: a.Body.Length,
		IDHeader: headers.RequestID, IsRefusal: e.isRefusal, Fresh: !a.Idempotent,
		Stamp: e.stamp, Permit: func(began bool) error { return e.permit(ctx, began) },
	}
}

// stamp tells the target how much time is left. Connecting may have taken some of it.
func (e *execution) stamp(header http.Header) {
	left := e.workEnds.Sub(e.gate.config.Clock.Now()) - deadlineMargin
	header[e.gate.config.Headers.Deadline] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
}

// permit returns an error if no more of the attempt may be handed to the target. What the gate and the target permit is
// asked only until the target has got a byte of it: then the attempt runs on.
func (e *execution) permit(ctx context.Context, began bool) error {
	if reason, hindered := e.hindrance(ctx, began); hindered {
		return &forbiddenError{reason: reason}
	}
	if !began {
		e.attempt.Body.MarkSent()
	}
	return nil
}

// isRefusal reports whether a response says that the target has not run the request.
func (e *execution) isRefusal(r *http.Response) bool {
	_, notRun := r.Header[e.gate.config.Headers.NotRun]
	return notRun || r.StatusCode == http.StatusMisdirectedRequest
}
