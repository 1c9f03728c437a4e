package entry

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/callerconn"
	"buckthornlatch.example/buckthornlatch/internal/mesh/customers"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/worktime"
	"buckthornlatch.example/buckthornlatch/internal/problem"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// Entry is the http.Handler for callers' requests.
type Entry struct {
	config Config
	// createdAt is when the process started serving.
	createdAt clock.Time
	// worktimes estimates the durations of attempts from those at all gates.
	worktimes worktime.Table
	// customerWork is the recent work of customers in attempts of this entry.
	customerWork customers.Table
}

// New returns an entry.
func New(config Config) *Entry {
	return &Entry{config: config, createdAt: config.Clock.Now()}
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer hop.CrashOnViolation()
	e.config.Metrics.Begin()
	defer e.config.Metrics.End()
	inbound := hop.NewInboundBody(w, r)
	defer inbound.Done()
	req := &request{requestID: r.Header.Get(e.config.Headers.RequestID), httpRequest: r}
	req.started = e.arrivedAt(r.Context())
	refused, attempts := e.serve(w, r, req, inbound)
	if refused == nil {
		return
	}
	inbound.BeforeRefusal()
	inbound.BeforeHeader()
	status := refused.write(w)
	e.log(req, attempts, status, string(refused.code), refused.retryAfter)
}

// arrivedAt returns when a request arrived, as far as that is known: at the time that the kernel tells, or when a pause
// began whose backlog may still be being read.
func (e *Entry) arrivedAt(ctx context.Context) time.Time {
	return earlierOf(callerconn.Received(ctx), time.Now(), e.config.Pauses.Age())
}

// earlierOf returns the earlier of two times: when a request was received, and the beginning of a pause that was age ago, if
// there was one. A request that came late in a pause is not older than the pause.
func earlierOf(received, now time.Time, age time.Duration) time.Time {
	if began := now.Add(-age); age > 0 && began.Before(received) {
		return began
	}
	return received
}

// MayServeAhead reports whether a request may be served before the earlier ones of its connection are answered. Only
// requests that may run more than once are: their caller sends them again if the connection closes before their answer.
func (e *Entry) MayServeAhead(r *http.Request) bool {
	current, _ := e.config.Policy.Policy()
	if current == nil {
		return false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := current.Match(r.Host, path)
	return route != nil && route.Idempotent
}

// serve answers a request or returns the refusal to send.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, req *request, inbound *hop.InboundBody) (*refusal, []attemptRecord) {
	if e.config.Refusing() {
		return drainingRefusal(), nil
	}
	if refused := e.authorise(req); refused != nil {
		return refused, nil
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), req.deadline, errDeadlineExceeded)
	defer cancel()
	if refused := e.admit(ctx, req); refused != nil {
		return refused, nil
	}
	req.header = r.Header
	e.config.Headers.StripUntrusted(req.header)
	if refused := req.readBody(w, r); refused != nil {
		return refused, nil
	}
	if e.config.Refusing() {
		// The body took long to arrive.
		return drainingRefusal(), nil
	}
	if e.quarantined(req) {
		return quarantinedRefusal(), nil
	}
	s := newSession(e, req)
	result, refused := s.run(ctx)
	if refused != nil {
		if (r.Context().Err() != nil || hangup.Left(r.Context())) && !req.paused() {
			e.log(req, s.records, 0, "caller-gone", 0)
			panic(http.ErrAbortHandler)
		}
		return refused, s.records
	}
	e.deliver(w, req, s, result, inbound)
	return nil, nil
}

// quarantined reports whether a request must not be sent to targets because it crashes them.
func (e *Entry) quarantined(req *request) bool {
	if !e.config.CrashEvidence.Any() {
		return false
	}
	path, _, _ := strings.Cut(req.httpRequest.RequestURI, "?")
	return e.config.CrashEvidence.Quarantined(quarantine.Fingerprint(req.customerID(), req.route.ID, req.httpRequest.Method, path, req.body.Data))
}

// drainingRefusal refuses a request that arrived too late before the end of the process.
func drainingRefusal() *refusal {
	return &refusal{code: problem.Draining, retryAfter: defaultRetryAfter}
}

// quarantinedRefusal refuses a quarantined request. Its status guarantees that the request has not run. Retry-After is
// the full length of a quarantine, which ends by then unless the request is linked to another crash.
func quarantinedRefusal() *refusal {
	return &refusal{code: problem.RequestQuarantined, status: http.StatusServiceUnavailable, retryAfter: quarantine.Expiry}
}

// errDeadlineExceeded is the cancellation cause of a request that reached its deadline.
var errDeadlineExceeded = errors.New("request deadline exceeded")

// admit takes a token of the customer's rate limit.
func (e *Entry) admit(ctx context.Context, req *request) *refusal {
	if req.customer == nil || !req.customer.Limited() {
		return nil
	}
	err := e.config.Limits.Admit(ctx, req.customer.ID)
	if err == nil {
		return nil
	}
	var denied *ratelimit.DeniedError
	if errors.As(err, &denied) && !denied.Unreachable {
		return &refusal{code: problem.RateExceeded, retryAfter: denied.RetryAfter}
	}
	return &refusal{code: problem.RateUnconfirmed, retryAfter: staleRetryAfter}
}

// readBody buffers the beginning of the request's body. The rest is streamed to the target.
func (req *request) readBody(w http.ResponseWriter, r *http.Request) *refusal {
	req.body = &link.Body{Length: r.ContentLength}
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	bounds := req.policy.Bounds()
	if bounds.BodyBytes > 0 && r.ContentLength > bounds.BodyBytes {
		return &refusal{code: problem.BodyTooLarge}
	}
	req.paced = newPacedBody(r.Body, w, bounds.IdleTimeout, req.deadline)
	r.Body = req.paced
	if bounds.BodyBytes > 0 {
		r.Body = http.MaxBytesReader(nil, r.Body, bounds.BodyBytes)
	}
	req.body.Rest = r.Body
	err := req.body.Prefetch(link.MaxBufferedBody)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{code: problem.BodyTooLarge}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{code: problem.BodyTimeout}
	case err != nil:
		return &refusal{code: problem.BadRequest}
	}
	return nil
}

// deliver sends a target's answer to the caller.
func (e *Entry) deliver(w http.ResponseWriter, req *request, s *session, result *link.Result, inbound *hop.InboundBody) {
	defer result.Close()
	header := w.Header()
	for name, values := range result.Header {
		header[name] = values
	}
	inbound.BeforeHeader()
	e.log(req, s.records, result.Status, string(result.Reason), 0)
	link.WriteBody(w, result.Status, result)
}
