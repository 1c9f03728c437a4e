package callerconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/arrival"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup"

	"buckthornlatch.example/buckthornlatch/internal/hop"
)

const (
	// maxAhead bounds the bytes that are read ahead on one connection. Dozens of requests without a body fit.
	maxAhead = 16 << 10
	// maxServedAhead bounds the requests that are served ahead on one connection.
	maxServedAhead = 8
	// readSize is the size of one read ahead.
	readSize = 4 << 10
	// lingerTime and maxLingerBytes bound what is read from a caller after the last answer of a connection.
	lingerTime     = 2 * time.Second
	maxLingerBytes = 8 << 20
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	front *Front
	// ctx is the context of the requests that are served ahead; cancel ends them.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// changed is signalled when bytes were read ahead or the watch has ended.
	changed *sync.Cond
	// in holds the bytes that were received and not read by the server; received says when.
	in       []byte
	received arrivals
	// head holds the bytes of the request at the boundary that the server has read already.
	head []byte
	// requests holds the requests whose boundaries were found and that the server has not read to their end.
	requests []waiting
	// searching is false once a boundary could not be found; bytes then pass through.
	searching bool
	// found and begun count the requests whose boundaries were found and those whose handlers have begun.
	found, begun int
	// active is true while a handler runs, whose context cancelActive ends.
	active       bool
	cancelActive context.CancelFunc
	// ahead holds the requests that are served ahead, by their number.
	ahead map[int]*served
	// pipelined is set once the caller has sent bytes before an answer was complete.
	pipelined bool
	// idle is true while no byte of the next request was read; waiting while the server also waits for it. kept is set once
	// a request of the connection was answered.
	idle, waiting, kept bool
	// aheadByte is set while the server holds a byte that it read ahead during a handler.
	aheadByte bool
	// bodyUnread is set if the last answer may have been given before the body of its request was read.
	bodyUnread bool
	// lingering is set once the connection is being closed in two steps.
	lingering bool
	// watching is true while a goroutine reads ahead.
	watching bool
	// left is the error with which the caller's side ended; nil while it is open.
	left error
}

// waiting is a request whose boundary is known.
type waiting struct {
	// number counts the requests of the connection from zero.
	number int
	// unread is the number of its bytes that the server has not read.
	unread int
	// data is the whole request if it may be served ahead; nil once that was decided.
	data     []byte
	received time.Time
}

// newConn wraps a connection.
func newConn(inner net.Conn, front *Front) *Conn {
	c := &Conn{Conn: inner, front: front, searching: true, idle: true, ahead: map[int]*served{}}
	c.ctx, c.cancel = context.WithCancel(hangup.WithConn(context.Background(), inner))
	c.changed = sync.NewCond(&c.mu)
	return c
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// begin marks the beginning of the next handler. It returns the request if it is served ahead, and when it was received.
// cancel is called when the caller leaves.
func (c *Conn) begin(cancel context.CancelFunc) (*served, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := c.begun
	c.begun++
	c.active, c.cancelActive = true, cancel
	if c.left != nil {
		cancel()
	}
	s := c.ahead[number]
	c.startAhead()
	return s, c.received.last
}

// end marks the end of a handler.
func (c *Conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.cancelActive = false, nil
	c.forget(c.begun - 1)
}

// forget removes a request that was served ahead, if it is one. The caller must hold c.mu.
func (c *Conn) forget(number int) {
	if s := c.ahead[number]; s != nil {
		delete(c.ahead, number)
		s.release()
		c.front.servedAhead.Add(-1)
	}
}

// hasMore reports whether a request behind the current one was read, in part or whole, or is being served. Its caller would
// wait for an answer in vain if the connection ended with the current one.
func (c *Conn) hasMore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.in) > 0 || c.aheadByte {
		return true
	}
	for number := range c.ahead {
		if number >= c.begun {
			return true
		}
	}
	return false
}

// Read implements net.Conn. A read of a single byte is the one with which net/http looks ahead.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return c.Conn.Read(p)
	}
	lookAhead := len(p) == 1
	c.mu.Lock()
	c.waiting = c.idle && !lookAhead && len(c.in) == 0
	for c.left == nil && len(c.in) == 0 && c.watching {
		c.changed.Wait()
	}
	if c.left == nil && len(c.in) == 0 {
		c.mu.Unlock()
		n, age, err := arrival.Read(c.Conn, p)
		at := time.Now().Add(-age)
		c.mu.Lock()
		if n > 0 {
			c.idle = false
		}
		c.waiting = false
		if n == 0 || c.passesThrough(lookAhead) {
			c.received.last = at
			c.mu.Unlock()
			return n, err
		}
		c.receive(p[:n], at)
	}
	defer c.mu.Unlock()
	if c.left != nil {
		return 0, c.left
	}
	c.idle, c.waiting = false, false
	n := c.take(p, lookAhead)
	c.aheadByte = lookAhead
	if lookAhead {
		c.watch()
	}
	return n, nil
}

// answered notes that the answer to a request was written out.
func (c *Conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept, c.idle, c.aheadByte = true, !c.aheadByte, false
}

// silent reports whether the server waits for a request of which nothing has arrived.
func (c *Conn) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isSilent()
}

// isSilent is silent with c.mu held.
func (c *Conn) isSilent() bool {
	return c.waiting && len(c.in) == 0 && !hangup.Unread(c.Conn)
}

// closeIfSilent lets the server close the connection if it is silent, and, if onlyKept is set, has been used before. It only
// ends the server's wait: if a request arrives at the same moment, the read returns either that request, which is then
// answered, or the end of the wait, and the request stays unread.
func (c *Conn) closeIfSilent(onlyKept bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isSilent() && (c.kept || !onlyKept) {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// passesThrough reports whether bytes that were just read can be handed to the server as they are. The caller must hold
// c.mu.
func (c *Conn) passesThrough(lookAhead bool) bool {
	return !c.searching && !lookAhead && c.left == nil
}

// receive adds bytes to those that the server has not read, and finds the requests in them. The caller must hold c.mu.
func (c *Conn) receive(data []byte, at time.Time) {
	c.in = append(c.in, data...)
	c.front.aheadBytes.Add(int64(len(data)))
	c.received.add(len(data), at)
	c.findRequests()
	c.startAhead()
}

// findRequests finds the boundaries of the requests that were received. The caller must hold c.mu.
func (c *Conn) findRequests() {
	for c.searching {
		known := 0
		for _, r := range c.requests {
			known += r.unread
		}
		rest := c.in[known:]
		if len(rest) == 0 {
			return
		}
		data := rest
		if len(c.head) > 0 {
			data = append(append([]byte(nil), c.head...), rest...)
		}
		length, b := findBoundary(data)
		switch b {
		case incomplete:
			return
		case last:
			c.searching, c.head = false, nil
			return
		}
		r := waiting{number: c.found, unread: length - len(c.head), received: c.received.latest()}
		if c.isBehind(r.number) {
			r.data = append([]byte(nil), data[:length]...)
		}
		c.found++
		c.head = nil
		c.requests = append(c.requests, r)
	}
}

// isBehind reports whether a request waits behind one whose answer is not complete. The caller must hold c.mu.
func (c *Conn) isBehind(number int) bool {
	return number > c.begun || (number == c.begun && c.active)
}

// startAhead serves requests ahead within the bounds. The caller must hold c.mu.
func (c *Conn) startAhead() {
	for i := range c.requests {
		r := &c.requests[i]
		if r.data == nil || !c.isBehind(r.number) {
			continue
		}
		if c.left != nil || c.front.Draining() || len(c.ahead) >= maxServedAhead || c.front.servedAhead.Load() >= maxServedAheadInAll {
			return
		}
		data := r.data
		request, err := parseRequest(data)
		r.data = nil
		if err != nil {
			c.searching = false
			return
		}
		if !c.front.MayServeAhead(request) {
			continue
		}
		release, ok := c.front.hold(c.Conn, data)
		if !ok {
			// The request waits for its turn.
			continue
		}
		request.RemoteAddr = c.RemoteAddr().String()
		s := newServed(context.WithValue(c.ctx, receivedKey{}, r.received), request)
		s.release = release
		c.ahead[r.number] = s
		c.front.servedAhead.Add(1)
		go s.run(c.front.Handler)
	}
}

// take moves bytes to p, of one request only while boundaries are known. The caller must hold c.mu.
func (c *Conn) take(p []byte, lookAhead bool) int {
	available := len(c.in)
	if len(c.requests) > 0 {
		available = c.requests[0].unread
	}
	n := copy(p, c.in[:available])
	switch {
	case len(c.requests) > 0:
		c.requests[0].unread -= n
		if c.requests[0].unread == 0 {
			c.requests = c.requests[1:]
		}
	case c.searching:
		c.head = append(c.head, p[:n]...)
	}
	c.in = c.in[n:]
	if len(c.in) == 0 {
		c.in = nil
	}
	c.front.aheadBytes.Add(int64(-n))
	c.received.taken(n, !lookAhead)
	return n
}

// watch starts to read ahead unless that is being done or the bounds are reached. The caller must hold c.mu.
func (c *Conn) watch() {
	c.pipelined = true
	if c.watching || c.left != nil || !c.hasRoom() {
		return
	}
	c.watching = true
	go c.readAhead()
}

// hasRoom reports whether another read ahead stays within the bounds. The caller must hold c.mu.
func (c *Conn) hasRoom() bool {
	return len(c.in)+readSize <= maxAhead && c.front.aheadBytes.Load()+readSize <= c.front.maxAheadInAll()
}

// readAhead reads until the caller leaves, a deadline of the server passes or the bounds are reached.
func (c *Conn) readAhead() {
	data := make([]byte, readSize)
	for {
		n, age, err := arrival.Read(c.Conn, data)
		if !c.store(data[:n], err, time.Now().Add(-age)) {
			return
		}
	}
}

// store keeps what was read ahead and reports whether to go on.
func (c *Conn) store(data []byte, err error, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(data) > 0 && c.left == nil {
		c.receive(data, at)
	}
	if err != nil && c.left == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.leave(err)
	}
	c.watching = err == nil && c.left == nil && c.hasRoom()
	c.changed.Broadcast()
	return c.watching
}

// leave ends all requests of the connection and drops what was read ahead. The caller must hold c.mu.
func (c *Conn) leave(err error) {
	c.left = err
	c.front.aheadBytes.Add(int64(-len(c.in)))
	c.in, c.requests = nil, nil
	for number := range c.ahead {
		if number >= c.begun {
			c.forget(number)
		}
	}
	c.cancel()
	if c.cancelActive != nil {
		c.cancelActive()
	}
}

// CloseWrite closes the writing side. net/http does so before it closes a connection whose request it has not read to the
// end. From then on nothing that the caller sends is read, except to let it get the answer: closing a connection with
// unread bytes resets it, and the caller would lose what it has not read.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		c.front.forget(c)
		return c.Conn.Close()
	}
	c.mu.Lock()
	started := c.lingering
	c.lingering = true
	c.mu.Unlock()
	err := half.CloseWrite()
	if !started {
		go c.linger()
	}
	return err
}

// Close implements net.Conn. If the caller has sent requests that were not read, or its request was not read to the end,
// the connection lingers before it is closed.
func (c *Conn) Close() error {
	c.mu.Lock()
	unread := (c.pipelined || c.bodyUnread) && c.left == nil
	if c.left == nil {
		c.leave(net.ErrClosed)
	}
	lingering := c.lingering
	c.changed.Broadcast()
	c.mu.Unlock()
	if unread {
		return c.CloseWrite()
	}
	if lingering {
		return nil
	}
	c.front.forget(c)
	return c.Conn.Close()
}

// lingerOnClose records that the caller may still be sending the body of a request whose answer ends the connection.
func (c *Conn) lingerOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyUnread = true
}

// resetBrokenOff resets the connection if the handler has broken its answer off with a panic. To a caller of HTTP/1.0 the
// end of the connection is the end of an answer without a length, which would look whole. The request may have a body.
func (c *Conn) resetBrokenOff(uploads bool) {
	broken := recover()
	if broken == nil {
		return
	}
	if uploads {
		hop.ResetUpload(c.Conn)
	} else {
		hop.Reset(c.Conn)
	}
	panic(broken)
}

// linger reads what the caller still sends until it closes its side, for at most lingerTime, and closes the connection.
func (c *Conn) linger() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
	_ = c.Conn.Close()
	c.front.forget(c)
}
