package traffic

import (
	"net"
	"sync"
	"sync/atomic"
)

// Conn is a connection that counts its bytes.
type Conn struct {
	net.Conn
	counts *[purposes]count
	// current is the call that the next bytes belong to; nil before the first one.
	current atomic.Pointer[Call]
}

// Begin starts a call whose purpose is not known yet.
func (c *Conn) Begin() *Call {
	call := &Call{counts: c.counts}
	c.current.Store(call)
	return call
}

// NetConn returns the connection that is wrapped.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if call := c.current.Load(); call != nil {
		call.add(0, int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if call := c.current.Load(); call != nil {
		call.add(int64(n), 0)
	}
	return n, err
}

// Call counts the bytes of one call. The connection may already be in use by the next one when its purpose becomes
// known.
type Call struct {
	counts *[purposes]count

	mu             sync.Mutex
	settled        bool
	purpose        Purpose
	sent, received int64
}

// Settle sets the purpose of the call, which also applies to the bytes that follow. Only the first Settle has an effect.
func (c *Call) Settle(purpose Purpose) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settled {
		return
	}
	c.settled, c.purpose = true, purpose
	c.counts[purpose].calls.Add(1)
	c.flush()
}

// add counts bytes.
func (c *Call) add(sent, received int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent += sent
	c.received += received
	if c.settled {
		c.flush()
	}
}

// flush adds the pending bytes to the total of the purpose. The caller must hold c.mu.
func (c *Call) flush() {
	total := &c.counts[c.purpose]
	total.sent.Add(c.sent)
	total.received.Add(c.received)
	c.sent, c.received = 0, 0
}
