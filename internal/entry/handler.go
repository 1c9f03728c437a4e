package entry

import (
	"context"
	"errors"
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/inflight"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// TicketPath is the URL path at which callers request idempotency tickets.
const TicketPath = "/.buckthornlatch/v1/tickets"

// Entry is the http.Handler for callers' requests.
type Entry struct {
	config  Config
	deps    Deps
	budget  *retryBudget
	running *inflight.Counter
}

// New returns an entry.
func New(config Config, deps Deps) *Entry {
	e := &Entry{config: config.withDefaults(), deps: deps, running: inflight.New()}
	e.budget = newRetryBudget(e.config.RetryFraction)
	return e
}

// Drain refuses new requests from now on.
func (e *Entry) Drain() {
	e.running.Close()
}

// Shutdown refuses new requests and waits until all running ones have ended. It returns the error
// of ctx if that ends first.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.running.Close()
	return e.running.Wait(ctx)
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer hop.CrashOnViolation()
	c := &callerConn{w: w, control: http.NewResponseController(w), idleTimeout: e.config.CallerSilence, oldProtocol: !r.ProtoAtLeast(1, 1), uploads: r.ContentLength != 0}
	c.inbound = hop.NewInboundBody(w, r)
	defer c.done()
	if !e.running.Enter() {
		w.Header().Set("Connection", "close")
		e.refuse(c, r, nil, &Refusal{Code: problem.Draining})
		return
	}
	defer e.running.Leave()
	q, refusal := e.authenticate(r)
	if refusal == nil {
		refusal = e.serve(c, r, q)
	}
	if refusal != nil {
		e.refuse(c, r, q, refusal)
	}
}

// refuse sends a refusal. If the request has an idempotency key that it did not claim, the refusal is restated so
// that it is true for the key.
func (e *Entry) refuse(c *callerConn, r *http.Request, q *request, refusal *Refusal) {
	_, keyed := r.Header[idempotencyHeader]
	if keyed && (q == nil || !q.claimed) {
		refusal = refusal.forUnclaimedKey()
	}
	c.refuse(refusal)
}

// serve answers an authenticated request or returns the refusal to send.
func (e *Entry) serve(c *callerConn, r *http.Request, q *request) *Refusal {
	if r.URL.Path == TicketPath {
		return e.serveTickets(c, r, q.identity)
	}
	if refusal := e.prepare(q, c, r); refusal != nil {
		return refusal
	}
	if refusal := e.admit(r.Context(), q); refusal != nil {
		return refusal
	}
	return e.execute(c, r, q)
}

// authenticate removes the key from the request's header and identifies the customer.
func (e *Entry) authenticate(r *http.Request) (*request, *Refusal) {
	key := extractKey(r.Header)
	if key == "" {
		return nil, &Refusal{Code: problem.KeyMissing}
	}
	now := e.deps.Clock.Now()
	identity, err := e.deps.Authenticator.Authenticate(key, now)
	if err != nil {
		return nil, refusalOf(err, problem.KeyInvalid)
	}
	return &request{key: key, identity: identity, expiry: now.Add(identity.ValidFor)}, nil
}

// admit takes a token of the customer's rate limit.
func (e *Entry) admit(ctx context.Context, q *request) *Refusal {
	now := e.deps.Clock.Now()
	admission, err := e.deps.Admitter.Admit(ctx, q.identity.Customer)
	if err != nil {
		return refusalOf(err, problem.RateExceeded)
	}
	q.expiry = min(q.expiry, now.Add(admission.ValidFor))
	return nil
}

// renewPermission checks the key and takes a token again, for an attempt after the permission has expired.
func (e *Entry) renewPermission(ctx context.Context, q *request) *Refusal {
	now := e.deps.Clock.Now()
	identity, err := e.deps.Authenticator.Authenticate(q.key, now)
	if err != nil {
		return refusalOf(err, problem.KeyInvalid)
	}
	q.identity, q.expiry = identity, now.Add(identity.ValidFor)
	return e.admit(ctx, q)
}

// bodyRefusal returns the refusal for a request body that could not be used.
func bodyRefusal(err error) *Refusal {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return &Refusal{Code: problem.BodyTooLarge}
	case errors.Is(err, errKeyInBody):
		return &Refusal{Code: problem.BadRequest, Detail: "the body contains the key"}
	}
	return &Refusal{Code: problem.BadRequest, Detail: "the body could not be read"}
}
