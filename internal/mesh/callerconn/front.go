package callerconn

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup"
)

const (
	// defaultMaxAhead is MaxAhead where it is zero.
	defaultMaxAhead = 8 << 20
	// maxServedAheadInAll bounds the requests that are served ahead on all connections of a Front.
	maxServedAheadInAll = 256
	// closePollInterval is the interval at which CloseAll checks.
	closePollInterval = 10 * time.Millisecond
	// silentPolls is the number of checks in a row, about half a second, at which all connections must be silent before
	// CloseAll closes those that have not been used yet: their callers may be about to send a request. Checks are counted and
	// not time, which passes without them on a host that is short of processor time.
	silentPolls = 50
)

// Front is the handler of callers' requests. Its server must use Listener, ConnContext and ConnState.
type Front struct {
	// Handler serves the requests.
	Handler http.Handler
	// MayServeAhead reports whether a request may be served before the earlier ones of its connection are answered.
	MayServeAhead func(*http.Request) bool
	// Draining reports whether callers should move to another connection.
	Draining func() bool
	// Hold charges a connection with a request that is served ahead, if it is not nil. On false the request waits for its turn.
	Hold func(conn net.Conn, head []byte) (release func(), ok bool)
	// MaxAhead bounds the bytes that are read ahead on all connections.
	MaxAhead int64

	// aheadBytes counts the bytes that were read ahead, servedAhead the requests that are served ahead until their answer
	// is written or their connection ends.
	aheadBytes  atomic.Int64
	servedAhead atomic.Int64

	mu sync.Mutex
	// open holds the connections that are not closed, also those of which only this side is.
	open map[*Conn]struct{}
}

// hold is Hold, if that is set.
func (f *Front) hold(conn net.Conn, head []byte) (release func(), ok bool) {
	if f.Hold == nil {
		return func() {}, true
	}
	return f.Hold(conn, head)
}

// maxAheadInAll returns the bound on the bytes that are read ahead.
func (f *Front) maxAheadInAll() int64 { return cmp.Or(f.MaxAhead, defaultMaxAhead) }

// Listener returns a listener whose connections are Conns.
func (f *Front) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, front: f}
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	front *Front
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(inner, l.front)
	l.front.remember(c)
	return c, nil
}

// connKey and receivedKey are context keys of a request's Conn and of the time when it was received.
type (
	connKey     struct{}
	receivedKey struct{}
)

// ConnContext is the ConnContext of the server: it stores the connection in the context of its requests.
func (f *Front) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		ctx = hangup.WithConn(ctx, c.Conn)
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnState is the ConnState of the server.
func (f *Front) ConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.answered()
	}
}

// Received returns when a request was received, which is before its turn came if it waited behind others. It returns the
// current time for a request that did not come through a Front.
func Received(ctx context.Context) time.Time {
	if at, ok := ctx.Value(receivedKey{}).(time.Time); ok {
		return at
	}
	return time.Now()
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		f.Handler.ServeHTTP(w, r)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	served, received := conn.begin(cancel)
	defer conn.end()
	if !r.ProtoAtLeast(1, 1) {
		defer conn.resetBrokenOff(r.ContentLength != 0)
	}
	closing := &closingWriter{ResponseWriter: w, mayClose: func() bool { return f.Draining() && !conn.hasMore() }}
	if served == nil {
		f.Handler.ServeHTTP(closing, r.WithContext(context.WithValue(ctx, receivedKey{}, received)))
		if r.ContentLength != 0 && w.Header().Get("Connection") == "close" {
			conn.lingerOnClose()
		}
		return
	}
	if served.identity != identityOf(r) {
		// The boundaries that the connection found are not those of the server. Nothing is answered, since the answer
		// could be that of another request.
		served.cancel()
		panic(http.ErrAbortHandler)
	}
	served.deliver(ctx, closing)
}

// CloseAll closes all connections, those with requests after the last answer, and returns when that is done or ctx ends. The
// listener must be closed and Draining must return true. No request that was read remains without an answer, unlike with
// the methods of http.Server: SetKeepAlivesEnabled and Shutdown also close connections whose next request has been read but
// not parsed, and those behind whose last answer a request waits; after Shutdown, requests that were read are dropped.
func (f *Front) CloseAll(ctx context.Context) {
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for polls := 0; ; {
		conns := f.conns()
		if len(conns) == 0 {
			return
		}
		polls++
		for _, c := range conns {
			if !c.silent() {
				polls = 0
			}
		}
		for _, c := range conns {
			c.closeIfSilent(polls < silentPolls)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// OpenConns returns the number of connections that are not closed.
func (f *Front) OpenConns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

// conns returns the connections that are not closed.
func (f *Front) conns() []*Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.open))
}

// remember adds a connection to those that are not closed.
func (f *Front) remember(c *Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open == nil {
		f.open = map[*Conn]struct{}{}
	}
	f.open[c] = struct{}{}
}

// forget removes a connection from those that are not closed.
func (f *Front) forget(c *Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, c)
}

// closingWriter sets "Connection: close" on an answer whose connection should end with it.
type closingWriter struct {
	http.ResponseWriter
	mayClose func() bool
	started  bool
}

// WriteHeader implements http.ResponseWriter.
func (c *closingWriter) WriteHeader(status int) {
	if !c.started && status >= http.StatusOK {
		c.started = true
		if c.mayClose() {
			c.Header()["Connection"] = []string{"close"}
		}
	}
	c.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (c *closingWriter) Write(p []byte) (int, error) {
	if !c.started {
		c.WriteHeader(http.StatusOK)
	}
	return c.ResponseWriter.Write(p)
}

// Unwrap returns the inner writer for http.ResponseController.
func (c *closingWriter) Unwrap() http.ResponseWriter {
	return c.ResponseWriter
}
