package hop

import (
	"net/http"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// Reply writes one hop response. Until its header is written it can show the sender that the attempt is alive.
type Reply struct {
	W       http.ResponseWriter
	Control *http.ResponseController
	attempt id.AttemptID
	clock   func() GateClock
	silence time.Duration
	inbound *Inbound
	// awaited says that the sender holds the body back until it is asked for.
	awaited bool

	mu      sync.Mutex
	timer   *time.Timer
	started bool
}

// NewReply returns a reply without output and takes over the request's body. clock reads the clock for the response; silence is the longest time
// that the sender may take to accept bytes.
func NewReply(w http.ResponseWriter, r *http.Request, attempt id.AttemptID, clock func() GateClock, silence time.Duration) *Reply {
	inbound := NewInbound(w, r)
	return &Reply{
		W: w, Control: http.NewResponseController(w), attempt: attempt, clock: clock, silence: silence,
		awaited: inbound.held, inbound: inbound,
	}
}

// KeepAlive sends an informational response every KeepAlive until the header is written.
func (r *Reply) KeepAlive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timer = time.AfterFunc(KeepAlive, r.alive)
}

// alive sends one informational response.
func (r *Reply) alive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started {
		return
	}
	r.Extend()
	r.W.WriteHeader(http.StatusProcessing)
	r.timer.Reset(KeepAlive)
}

// Continue asks the sender for the body. It must be called before the body is read, because net/http would
// otherwise ask by itself at a moment when an informational response may be on its way.
func (r *Reply) Continue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.awaited || r.started {
		return
	}
	r.awaited, r.inbound.held = false, false
	r.Extend()
	r.W.WriteHeader(http.StatusContinue)
}

// Start ends the informational responses; after it the caller may use W.
func (r *Reply) Start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started = true
	if r.timer != nil {
		r.timer.Stop()
	}
	r.Extend()
}

// Extend restarts the time that the sender has to accept bytes.
func (r *Reply) Extend() {
	_ = r.Control.SetWriteDeadline(time.Now().Add(r.silence))
}

// Done ends the reply. It clears the write deadline, which would otherwise hit the connection's next request.
func (r *Reply) Done() {
	r.Start()
	r.inbound.Done()
	_ = r.Control.SetWriteDeadline(time.Time{})
}

// Header sets the hop headers right before the header is sent. The response's attempt and clock are filled in.
func (r *Reply) Header(response Response) {
	response.Attempt = r.attempt
	response.Clock = r.clock()
	response.Encode(r.W.Header())
	r.inbound.BeforeHeader()
}

// Problem writes a refusal as the whole, certified response.
func (r *Reply) Problem(response Response, details problem.Details) {
	r.Start()
	r.inbound.BeforeRefusal()
	response.Length = -1
	r.Header(response)
	_ = details.Write(withoutLength{r.W})
	r.Complete()
}

// Complete certifies that the whole body was written.
func (r *Reply) Complete() {
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
