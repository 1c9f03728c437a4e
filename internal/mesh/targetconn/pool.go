package targetconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// DialTimeout bounds connecting to a target, which is on the same host.
	DialTimeout = time.Second
	// defaultIdle is how long an unused connection is kept when the target states no time.
	defaultIdle = 5 * time.Second
	// idleMargin is subtracted from the time that the target states, because it may close a little earlier.
	idleMargin = time.Second
	// FreshFor is how long a connection counts as fresh. A target that drops an idle connection resets the next
	// request on it, and a request that may run only once is then lost.
	FreshFor = 2 * time.Second
	// maxIdle bounds the unused connections; targets accept some hundreds.
	maxIdle = 64
)

// Pool holds the connections to one target. It is safe for concurrent use.
type Pool struct {
	address string
	dialer  net.Dialer

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// New returns a pool without connections.
func New(address string) *Pool {
	return &Pool{address: address, dialer: net.Dialer{Timeout: DialTimeout}}
}

// Close closes the unused connections. Running requests go on.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// get returns a connection that is alive.
func (p *Pool) get(ctx context.Context, fresh bool) (*conn, error) {
	for c := p.take(); c != nil; c = p.take() {
		unused := time.Since(c.idleSince)
		if unused < c.idleFor && (!fresh || unused < FreshFor) && c.quiet() {
			return c, nil
		}
		c.close()
	}
	netConn, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return newConn(netConn), nil
}

// Refuses reports whether the target's host refuses a new connection, as it does when nothing listens there. A
// connection that is made is kept for the next request.
func (p *Pool) Refuses(ctx context.Context) bool {
	netConn, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.put(newConn(netConn))
	return false
}

// take removes the connection that was used last, or returns nil.
func (p *Pool) take() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}
