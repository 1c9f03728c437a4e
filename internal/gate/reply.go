package gate

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/attempt"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// reply writes one hop response. Until its header is written it can show the entry that the attempt is alive.
type reply struct {
	gate    *Gate
	w       http.ResponseWriter
	control *http.ResponseController
	request hop.Request
	demand  demand

	mu      sync.Mutex
	ticker  *time.Timer
	started bool
}

// newReply returns a reply without output.
func newReply(g *Gate, w http.ResponseWriter, request hop.Request) *reply {
	return &reply{gate: g, w: w, control: http.NewResponseController(w), request: request}
}

// keepAlive sends an informational response every hop.KeepAlive until the header is written.
func (r *reply) keepAlive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ticker = time.AfterFunc(hop.KeepAlive, r.alive)
}

// alive sends one informational response.
func (r *reply) alive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started {
		return
	}
	r.extend()
	r.w.WriteHeader(http.StatusProcessing)
	r.ticker.Reset(hop.KeepAlive)
}

// start ends the informational responses; the caller may then use w.
func (r *reply) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started = true
	if r.ticker != nil {
		r.ticker.Stop()
	}
	r.extend()
}

// extend restarts the time that the entry has to accept bytes.
func (r *reply) extend() {
	_ = r.control.SetWriteDeadline(time.Now().Add(r.gate.config.EntrySilence))
}

// done clears the write deadline, which would otherwise hit the next request of the connection.
func (r *reply) done() {
	r.start()
	_ = r.control.SetWriteDeadline(time.Time{})
}

// header sets the hop headers of the response.
func (r *reply) header(verdict hop.Verdict, reason problem.Code, length int64) {
	response := hop.Response{
		Attempt: r.request.Attempt, Verdict: verdict, Reason: reason, Clock: r.gate.Clock(), Length: length,
	}
	if r.demand.Service.Name != "" {
		response.Load, response.LoadKnown = r.gate.pool.load(r.demand), true
	}
	response.Encode(r.w.Header())
}

// refuse answers an attempt that was not dispatched, or was declined.
func (r *reply) refuse(err error) {
	refused := &Refused{Code: problem.NoTarget}
	_ = errors.As(err, &refused)
	r.problem(hop.NotRun, refused.Code, refused.RetryAfter)
}

// repeated answers an id that arrived before, or that the table cannot take.
func (r *reply) repeated(state attempt.State) {
	switch state {
	case attempt.Blocked, attempt.NotRun:
		r.problem(hop.NotRun, problem.AttemptBlocked, 0)
	case attempt.Full:
		r.problem(hop.NotRun, problem.QueueFull, 0)
	default:
		r.problem(hop.Unknown, problem.OutcomeUnknown, 0)
	}
}

// problem writes a refusal with its certificate.
func (r *reply) problem(verdict hop.Verdict, code problem.Code, retryAfter time.Duration) {
	r.start()
	r.header(verdict, code, -1)
	details := problem.New(code, problem.Run(verdict), "")
	details.RetryAfter = retryAfter
	header := r.w.Header()
	_ = details.Write(withoutLength{r.w})
	header[hop.HeaderComplete] = []string{r.request.Attempt.String()}
}

// withoutLength drops Content-Length, because only chunked responses have trailers.
type withoutLength struct {
	http.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (w withoutLength) WriteHeader(status int) {
	w.Header().Del("Content-Length")
	w.ResponseWriter.WriteHeader(status)
}
