package hop

import (
	"net/http"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// Reply writes one hop response. Until the header is written, it can send informational responses as keep-alives.
type Reply struct {
	W            http.ResponseWriter
	Control      *http.ResponseController
	attempt      id.AttemptID
	clock        func() GateClock
	writeTimeout time.Duration
	inbound      *InboundBody
	// awaitsContinue is true while the sender holds the body back until "100 Continue".
	awaitsContinue bool

	mu      sync.Mutex
	timer   *time.Timer
	started bool
}

// NewReply returns a reply and wraps the request's body in an Inbound. It writes nothing. clock returns the gate
// clock for the response; writeTimeout bounds the time that the sender may take to accept bytes.
func NewReply(w http.ResponseWriter, r *http.Request, attempt id.AttemptID, clock func() GateClock, writeTimeout time.Duration) *Reply {
	inbound := NewInboundBody(w, r)
	return &Reply{
		W: w, Control: http.NewResponseController(w), attempt: attempt, clock: clock, writeTimeout: writeTimeout,
		awaitsContinue: inbound.awaitsContinue, inbound: inbound,
	}
}

// StartKeepAlive starts sending an informational response every KeepAlive until Start is called.
func (r *Reply) StartKeepAlive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timer = time.AfterFunc(KeepAliveInterval, r.sendKeepAlive)
}

// sendKeepAlive sends one informational response and schedules the next.
func (r *Reply) sendKeepAlive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started {
		return
	}
	r.ExtendWriteDeadline()
	r.W.WriteHeader(http.StatusProcessing)
	r.timer.Reset(KeepAliveInterval)
}

// Continue sends "100 Continue" if the sender holds the body back. It must be called before the body is read,
// because net/http would otherwise send it itself, possibly while another informational response is being written.
func (r *Reply) Continue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.awaitsContinue || r.started {
		return
	}
	r.awaitsContinue, r.inbound.awaitsContinue = false, false
	r.ExtendWriteDeadline()
	r.W.WriteHeader(http.StatusContinue)
}

// Start ends the informational responses. Only after it may the caller use W.
func (r *Reply) Start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started = true
	if r.timer != nil {
		r.timer.Stop()
	}
	r.ExtendWriteDeadline()
}

// ExtendWriteDeadline sets the write deadline to the write timeout from now.
func (r *Reply) ExtendWriteDeadline() {
	_ = r.Control.SetWriteDeadline(time.Now().Add(r.writeTimeout))
}

// Done ends the reply. It clears the write deadline, which would otherwise apply to the connection's next request.
func (r *Reply) Done() {
	r.Start()
	r.inbound.Done()
	_ = r.Control.SetWriteDeadline(time.Time{})
}

// SetHeader sets the hop headers; it is called right before the header is sent. It fills in the response's attempt
// and clock.
func (r *Reply) SetHeader(response Response) {
	response.Attempt = r.attempt
	response.Clock = r.clock()
	response.Encode(r.W.Header())
	r.inbound.BeforeHeader()
}

// WriteProblem writes details as the complete response, with hop headers and the completion trailer.
func (r *Reply) WriteProblem(response Response, details problem.Details) {
	r.Start()
	r.inbound.BeforeRefusal()
	response.Length = -1
	r.SetHeader(response)
	_ = details.Write(withoutLength{r.W})
	r.SetCompleteTrailer()
}

// SetCompleteTrailer sets the trailer that marks the body as complete.
func (r *Reply) SetCompleteTrailer() {
	r.W.Header()[HeaderComplete] = []string{r.attempt.String()}
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
