package callerconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxAhead bounds the bytes that are read ahead on one connection. Dozens of requests without a body fit.
	maxAhead = 16 << 10
	// readSize is the size of one read ahead.
	readSize = 4 << 10
	// lingerTime and maxLingerBytes bound what is read from a caller after the last answer of a connection.
	lingerTime     = time.Second
	maxLingerBytes = 256 << 10
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	// total counts the bytes read ahead on all connections of the listener.
	total *atomic.Int64

	mu sync.Mutex
	// changed is signalled when bytes were read ahead or the watch has ended.
	changed *sync.Cond
	// ahead holds the bytes that were read ahead, in the chunks in which they were received.
	ahead []chunk
	size  int
	// pipelined is set once the caller has sent bytes before an answer was complete.
	pipelined bool
	// watching is true while a goroutine reads ahead.
	watching bool
	// left is the error with which the caller's side ended; nil while it is open.
	left error
	// onLeave is called when the caller leaves.
	onLeave func()
	// received is when the last bytes were received that the server has read.
	received time.Time
}

// chunk is a piece of what was read ahead.
type chunk struct {
	data []byte
	at   time.Time
}

// newConn wraps a connection.
func newConn(inner net.Conn, total *atomic.Int64) *Conn {
	c := &Conn{Conn: inner, total: total, received: time.Now()}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Received returns when the last bytes were received that the server has read. Called at the beginning of a handler, it
// tells since when the request could have been served.
func (c *Conn) Received() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// OnLeave sets the function to call when the caller closes the connection or breaks it while bytes of further requests
// wait. It is called at once if the caller has left already. The returned function removes it.
func (c *Conn) OnLeave(call func()) (remove func()) {
	c.mu.Lock()
	left := c.left != nil
	c.onLeave = call
	c.mu.Unlock()
	if left {
		call()
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.onLeave = nil
	}
}

// Read implements net.Conn. A read of a single byte is the one with which net/http looks ahead.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return c.Conn.Read(p)
	}
	c.mu.Lock()
	for c.left == nil && len(c.ahead) == 0 && c.watching {
		c.changed.Wait()
	}
	if c.left != nil {
		defer c.mu.Unlock()
		return 0, c.left
	}
	lookAhead := len(p) == 1
	if len(c.ahead) > 0 {
		defer c.mu.Unlock()
		n := c.take(p, lookAhead)
		if lookAhead {
			c.watch()
		}
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if lookAhead {
			c.watch()
		} else {
			c.received = time.Now()
		}
	}
	return n, err
}

// take moves bytes that were read ahead to p. The caller must hold c.mu.
func (c *Conn) take(p []byte, lookAhead bool) int {
	n := 0
	for n < len(p) && len(c.ahead) > 0 {
		first := &c.ahead[0]
		copied := copy(p[n:], first.data)
		n += copied
		first.data = first.data[copied:]
		if !lookAhead {
			c.received = first.at
		}
		if len(first.data) == 0 {
			c.ahead = c.ahead[1:]
		}
	}
	c.size -= n
	c.total.Add(int64(-n))
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
	return c.size+readSize <= maxAhead && c.total.Load()+readSize <= maxAheadInAll
}

// readAhead reads until the caller leaves, a deadline of the server passes or the bounds are reached.
func (c *Conn) readAhead() {
	for {
		data := make([]byte, readSize)
		n, err := c.Conn.Read(data)
		if !c.store(data[:n], err) {
			return
		}
	}
}

// store keeps what was read ahead and reports whether to go on.
func (c *Conn) store(data []byte, err error) bool {
	c.mu.Lock()
	var call func()
	if len(data) > 0 {
		c.ahead = append(c.ahead, chunk{data: data, at: time.Now()})
		c.size += len(data)
		c.total.Add(int64(len(data)))
	}
	if err != nil && c.left == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.left, call = err, c.onLeave
	}
	if c.left != nil {
		c.drop()
	}
	c.watching = err == nil && c.hasRoom()
	goOn := c.watching
	c.changed.Broadcast()
	c.mu.Unlock()
	if call != nil {
		call()
	}
	return goOn
}

// drop forgets what was read ahead. The caller must hold c.mu.
func (c *Conn) drop() {
	c.total.Add(int64(-c.size))
	c.ahead, c.size = nil, 0
}

// CloseWrite closes the writing side, which net/http does before it closes a connection whose request it has not read to
// the end.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. If the caller has sent requests that were not read, the connection is closed in two steps:
// closing it with unread bytes would reset it, and the reset could make the caller lose the last answer.
func (c *Conn) Close() error {
	c.mu.Lock()
	lingers := c.pipelined && c.left == nil
	if c.left == nil {
		c.left = net.ErrClosed
	}
	c.drop()
	c.changed.Broadcast()
	c.mu.Unlock()
	if !lingers || c.CloseWrite() != nil {
		return c.Conn.Close()
	}
	go c.linger()
	return nil
}

// linger reads what the caller still sends until it closes its side, for at most lingerTime, and closes the connection.
func (c *Conn) linger() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
	_ = c.Conn.Close()
}
