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
	// DialTimeout bounds connecting to a target, which runs on the same host.
	DialTimeout = time.Second
	// defaultIdleTimeout applies to connections whose target sends no Keep-Alive timeout.
	defaultIdleTimeout = 5 * time.Second
	// idleMargin is subtracted from the target's Keep-Alive timeout, because the target may close a little earlier.
	idleMargin = time.Second
	// FreshIdleLimit bounds the idle time of a connection that counts as fresh. A target that drops an idle connection
	// resets the next request on it, and a request that may run only once is then lost.
	FreshIdleLimit = 2 * time.Second
	// maxIdleConns bounds the idle connections; targets accept some hundreds of connections.
	maxIdleConns = 64
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

// Close closes the idle connections. Requests in flight continue.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// get returns an idle connection that can be reused, or a new one.
func (p *Pool) get(ctx context.Context, fresh bool) (*conn, error) {
	for c := p.popIdle(); c != nil; c = p.popIdle() {
		idleTime := time.Since(c.idleSince)
		if idleTime < c.idleTimeout && (!fresh || idleTime < FreshIdleLimit) && c.reusable() {
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

// RefusesConnections reports whether a new connection to the target's address is refused, as it is when nothing listens
// there. If the connection succeeds, it is kept for the next request.
func (p *Pool) RefusesConnections(ctx context.Context) bool {
	netConn, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.putIdle(newConn(netConn))
	return false
}

// popIdle removes and returns the most recently used idle connection, or returns nil.
func (p *Pool) popIdle() *conn {
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

// putIdle keeps a connection for the next request, or closes it if the pool is closed or full.
func (p *Pool) putIdle(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}
