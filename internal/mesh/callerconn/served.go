package callerconn

import (
	"bytes"
	"context"
	"net/http"
	"sync"
)

// maxBufferedAnswer bounds the bytes of an answer that are kept before its turn. The rest of a longer one waits in its
// handler.
const maxBufferedAnswer = 64 << 10

// served is a request that is served ahead, and its answer until its turn. It implements http.ResponseWriter for the
// handler.
type served struct {
	request *http.Request
	// identity tells the request from others; the handler may change the request itself.
	identity identity
	ctx      context.Context
	cancel   context.CancelFunc
	// done is closed when the handler has returned. panicked is then the value of its panic, if any.
	done     chan struct{}
	panicked any

	mu     sync.Mutex
	header http.Header
	status int
	// body is the beginning of the answer's body; full is set once it has reached its bound.
	body bytes.Buffer
	full bool
	// out is the connection's writer once the turn has come; turn is closed then.
	out  http.ResponseWriter
	turn chan struct{}
	// release takes off what Front.Hold has charged for the request.
	release func()
}

// newServed returns a request to serve ahead. ctx ends it.
func newServed(ctx context.Context, r *http.Request) *served {
	s := &served{identity: identityOf(r), done: make(chan struct{}), turn: make(chan struct{}), header: http.Header{}}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.request = r.WithContext(s.ctx)
	return s
}

// run calls the handler. A panic, with which a handler breaks an answer off, is kept until the turn.
func (s *served) run(handler http.Handler) {
	defer close(s.done)
	defer func() { s.panicked = recover() }()
	handler.ServeHTTP(s, s.request)
}

// deliver writes the answer when its turn has come. It breaks off the connection if the handler broke off its answer.
func (s *served) deliver(ctx context.Context, w http.ResponseWriter) {
	defer s.cancel()
	s.begin(w)
	select {
	case <-s.done:
	case <-ctx.Done():
		s.cancel()
		<-s.done
	}
	if s.panicked != nil {
		panic(s.panicked)
	}
}

// begin writes what there is of the answer. Afterwards the handler writes to w itself.
func (s *served) begin(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = w
	close(s.turn)
	if s.status == 0 {
		return
	}
	s.writeHeader()
	// The handler notices an error at its next write, the server at the end of the request.
	_, _ = w.Write(s.body.Bytes())
	s.body = bytes.Buffer{}
}

// writeHeader writes the status and the header. The caller must hold s.mu.
func (s *served) writeHeader() {
	header := s.out.Header()
	for name, values := range s.header {
		header[name] = values
	}
	s.out.WriteHeader(s.status)
}

// Header implements http.ResponseWriter.
func (s *served) Header() http.Header {
	return s.header
}

// WriteHeader implements http.ResponseWriter. Informational responses are not forwarded.
func (s *served) WriteHeader(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status != 0 || status < http.StatusOK {
		return
	}
	s.status = status
	if s.out != nil {
		s.writeHeader()
	}
}

// Write implements http.ResponseWriter. It waits for the turn once the buffer is full.
func (s *served) Write(p []byte) (int, error) {
	s.WriteHeader(http.StatusOK)
	s.mu.Lock()
	if s.out == nil && !s.full && s.body.Len()+len(p) <= maxBufferedAnswer {
		defer s.mu.Unlock()
		return s.body.Write(p)
	}
	s.full = true
	s.mu.Unlock()
	select {
	case <-s.turn:
	case <-s.ctx.Done():
		return 0, s.ctx.Err()
	}
	// begin holds the lock until it has written the buffered part.
	s.mu.Lock()
	out := s.out
	s.mu.Unlock()
	return out.Write(p)
}

// Flush implements http.Flusher. Before the turn there is nothing to flush to.
func (s *served) Flush() {
	s.mu.Lock()
	out := s.out
	s.mu.Unlock()
	if out != nil {
		_ = http.NewResponseController(out).Flush()
	}
}
