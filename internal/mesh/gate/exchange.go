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

// exchange hands the attempt to the target and waits for the answer.
func (w *work) exchange(ctx context.Context) *link.Result {
	type answer struct {
		response *targetconn.Response
		err      error
	}
	answers := make(chan answer, 1)
	request := w.request()
	go func() {
		response, err := w.target.pool.Do(ctx, request)
		answers <- answer{response, err}
	}()
	w.gate.mu.Lock()
	limit := w.gate.slots.OverdueAfter(w.demand)
	w.gate.mu.Unlock()
	overdue := time.NewTimer(limit)
	defer overdue.Stop()
	for {
		select {
		case got := <-answers:
			return w.judge(ctx, got.response, got.err)
		case <-overdue.C:
			w.gate.mu.Lock()
			w.gate.slots.MarkOverdue(w.gate.config.Clock.Now(), w.demand.ID)
			w.gate.mu.Unlock()
			w.signals.Overdue()
		case <-w.hopeless:
			w.signals.Hopeless()
		}
	}
}

// request builds the target's request.
func (w *work) request() *targetconn.Request {
	a, headers := w.attempt, w.gate.config.Headers
	header := a.Header.Clone()
	headers.StripCaller(header)
	left := a.Remaining - time.Since(w.arrived) - answerMargin
	header[headers.Deadline] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	header[headers.Target] = []string{w.target.incarnation.ID}
	header[headers.Caller] = []string{string(a.Caller)}
	if a.Customer != "" {
		header[headers.Customer] = []string{string(a.Customer)}
	}
	_, hasKey := header["Authorization"]
	invariant.Check(!hasKey, "no-key-at-target", "attempt of request %s carries a key", a.RequestID)
	return &targetconn.Request{
		Method: a.Method, URI: a.URI, Host: a.Host, Header: header,
		Body: a.Body.Data, Rest: a.Body.Rest, Length: a.Body.Length,
		IDHeader: headers.RequestID, Unfamiliar: w.unfamiliar, Fresh: !a.Idempotent,
	}
}

// unfamiliar reports whether an answer without the request's id is still the target's: only refusals to run are.
func (w *work) unfamiliar(r *http.Response) bool {
	_, notRun := r.Header[w.gate.config.Headers.NotRun]
	return notRun || r.StatusCode == http.StatusMisdirectedRequest
}
