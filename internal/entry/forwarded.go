package entry

import (
	"net/http"
	"net/url"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/attempt"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// Forwarded handles hop.ForwardPath on the peer listener: requests of other daemons' callers whose ticket this
// daemon issued. The forwarding daemon has authenticated and admitted them; its permission is stamped for this
// daemon's clock. The attempt table makes sure that a forwarded request is taken at most once.
func (e *Entry) Forwarded(w http.ResponseWriter, r *http.Request) {
	defer hop.CrashOnViolation()
	request, err := hop.DecodeRequest(r.Header)
	if err != nil {
		// Without the echo of the id the sender asks for the fate of the attempt and gets a proved answer.
		_ = problem.New(problem.BadRequest, problem.NotRun, err.Error()).Write(w)
		return
	}
	f := &forwarded{entry: e, request: request}
	f.reply = hop.NewReply(w, r, request.Attempt, e.deps.Attempts.Clock, e.config.CallerSilence)
	defer f.reply.Done()
	if !e.running.Enter() {
		f.refuse(problem.Draining)
		return
	}
	defer e.running.Leave()
	f.serve(w, r)
}

// forwarded is one request from another daemon.
type forwarded struct {
	entry   *Entry
	request hop.Request
	reply   *hop.Reply
}

// refuse answers a request that was not taken.
func (f *forwarded) refuse(code problem.Code) {
	f.reply.Problem(hop.Response{Verdict: hop.NotRun, Reason: code}, problem.New(code, problem.NotRun, ""))
}

// serve takes the request, once.
func (f *forwarded) serve(w http.ResponseWriter, r *http.Request) {
	attempts := f.entry.deps.Attempts
	if state := attempts.Arrive(f.request.Attempt); state != attempt.Unseen {
		f.repeated(state)
		return
	}
	inner, err := f.inner(r)
	code := problem.AttemptBlocked
	switch {
	case err != nil:
		code = problem.BadRequest
	case !f.request.ValidUntil.Permits(attempts.Clock()):
		code = problem.ValidityExpired
	case attempts.Dispatch(f.request.Attempt):
		f.taken(w, inner)
		return
	}
	attempts.Finish(f.request.Attempt, attempt.EndRefused)
	f.refuse(code)
}

// repeated answers an id that arrived before, or that the table cannot take.
func (f *forwarded) repeated(state attempt.State) {
	switch state {
	case attempt.Blocked, attempt.NotRun:
		f.refuse(problem.AttemptBlocked)
	case attempt.Full:
		f.refuse(problem.QueueFull)
	default:
		details := problem.New(problem.OutcomeUnknown, problem.Unknown, "")
		f.reply.Problem(hop.Response{Verdict: hop.Unknown, Reason: problem.OutcomeUnknown}, details)
	}
}

// taken runs a request that was taken and records whether it was answered.
func (f *forwarded) taken(w http.ResponseWriter, r *http.Request) {
	end := attempt.EndBroken
	defer func() { f.entry.deps.Attempts.Finish(f.request.Attempt, end) }()
	f.reply.KeepAlive()
	f.reply.Continue()
	c := &caller{w: w, control: f.reply.Control, silence: f.entry.config.CallerSilence, reply: f.reply}
	defer c.done()
	q := f.query()
	if refusal := f.entry.serveForwarded(c, r, q); refusal != nil {
		f.entry.refuse(c, r, q, refusal)
	}
	end = attempt.EndComplete
}

// query returns what the forwarding daemon established.
func (f *forwarded) query() *query {
	e := f.entry
	ahead := f.request.ValidUntil.Millis - e.deps.Attempts.Clock().Millis
	validFor := time.Duration(ahead) * time.Millisecond
	now := e.deps.Clock.Now()
	return &query{
		forwarded: true,
		deadline:  now.Add(f.request.Remaining),
		identity:  Identity{Customer: f.request.Customer, KeyID: f.request.KeyID, ValidFor: validFor},
		expiry:    now.Add(validFor),
	}
}

// inner returns the caller's request.
func (f *forwarded) inner(r *http.Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(f.request.URI)
	if err != nil {
		return nil, err
	}
	inner := r.WithContext(r.Context())
	inner.URL = target
	inner.RequestURI = f.request.URI
	return inner, nil
}

// serveForwarded is serve for a request that another daemon authenticated and admitted.
func (e *Entry) serveForwarded(c *caller, r *http.Request, q *query) *Refusal {
	latest := q.deadline
	if refusal := e.prepare(q, c, r); refusal != nil {
		return refusal
	}
	q.deadline = min(q.deadline, latest)
	return e.execute(c, r, q)
}
