package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/worktime"
	"buckthornlatch.example/buckthornlatch/internal/problem"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// keptBody is the largest request body that is held in memory, in bytes. A longer one is sent once.
const keptBody = 256 << 10

// Entry is the callers' http.Handler.
type Entry struct {
	config Config
	// worktimes are the durations of attempts at all gates.
	worktimes worktime.Table
}

// New returns an entry.
func New(config Config) *Entry {
	return &Entry{config: config}
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.config.Metrics.Begin()
	defer e.config.Metrics.End()
	inbound := hop.NewInbound(w, r)
	defer inbound.Done()
	q := &query{requestID: r.Header.Get(e.config.Headers.RequestID), started: time.Now(), request: r}
	if e.config.Draining() {
		w.Header()["Connection"] = []string{"close"}
	}
	refused, tried := e.serve(w, r, q, inbound)
	if refused == nil {
		return
	}
	inbound.BeforeRefusal()
	inbound.BeforeHeader()
	status := refused.write(w)
	e.log(q, tried, status, string(refused.code), refused.retryAfter)
}

// serve answers a request or returns the refusal to send.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, q *query, inbound *hop.Inbound) (*refusal, []try) {
	if refused := e.authorise(q); refused != nil {
		return refused, nil
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline, errOutOfTime)
	defer cancel()
	if refused := e.admit(ctx, q); refused != nil {
		return refused, nil
	}
	q.header = r.Header
	e.config.Headers.StripCaller(q.header)
	if refused := q.readBody(r); refused != nil {
		return refused, nil
	}
	if e.quarantined(q) {
		return quarantinedRefusal(), nil
	}
	s := newSession(e, q)
	result, refused := s.run(ctx)
	if refused != nil {
		if r.Context().Err() != nil {
			e.log(q, s.tries, 0, "caller-gone", 0)
			panic(http.ErrAbortHandler)
		}
		return refused, s.tries
	}
	e.deliver(w, q, s, result, inbound)
	return nil, nil
}

// quarantined reports whether a request is kept away from targets because it crashes them.
func (e *Entry) quarantined(q *query) bool {
	if !e.config.Evidence.Any() {
		return false
	}
	path, _, _ := strings.Cut(q.request.RequestURI, "?")
	return e.config.Evidence.Quarantined(quarantine.Fingerprint(q.customerID(), q.route.ID, q.request.Method, path, q.body.Data))
}

// quarantinedRefusal refuses such a request. It is a promise that the request has not run, and says when the quarantine
// ends at the earliest.
func quarantinedRefusal() *refusal {
	return &refusal{code: problem.RequestQuarantined, status: http.StatusServiceUnavailable, retryAfter: quarantine.Expiry}
}

// errOutOfTime ends a request at its deadline.
var errOutOfTime = errors.New("the request's time is up")

// admit takes a token of the customer's rate.
func (e *Entry) admit(ctx context.Context, q *query) *refusal {
	if q.customer == nil || !q.customer.Limited() {
		return nil
	}
	err := e.config.Limits.Admit(ctx, q.customer.ID)
	if err == nil {
		return nil
	}
	var denied *ratelimit.Denied
	if errors.As(err, &denied) && !denied.Unreachable {
		return &refusal{code: problem.RateExceeded, retryAfter: denied.RetryAfter}
	}
	return &refusal{code: problem.RateUnconfirmed, retryAfter: staleRetry}
}

// readBody reads the request's body as far as it is kept.
func (q *query) readBody(r *http.Request) *refusal {
	q.body = &link.Body{Length: r.ContentLength}
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	if limit := q.policy.Bounds().BodyBytes; limit > 0 {
		if r.ContentLength > limit {
			return &refusal{code: problem.BodyTooLarge}
		}
		r.Body = http.MaxBytesReader(nil, r.Body, limit)
	}
	q.body.Rest = r.Body
	err := q.body.Prefetch(keptBody)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{code: problem.BodyTooLarge}
	case err != nil:
		return &refusal{code: problem.BadRequest}
	}
	return nil
}

// deliver sends a target's answer to the caller.
func (e *Entry) deliver(w http.ResponseWriter, q *query, s *session, result *link.Result, inbound *hop.Inbound) {
	defer result.Close()
	header := w.Header()
	for name, values := range result.Header {
		header[name] = values
	}
	inbound.BeforeHeader()
	e.log(q, s.tries, result.Status, string(result.Reason), 0)
	link.WriteBody(w, result.Status, result)
}
