package inflight

import (
	"context"
	"sync"
)

// Counter counts running requests. It is safe for concurrent use.
type Counter struct {
	mu     sync.Mutex
	count  int
	closed bool
	// empty is closed when admission has ended and nothing runs any more.
	empty chan struct{}
}

// New returns a counter that admits requests.
func New() *Counter {
	return &Counter{empty: make(chan struct{})}
}

// Enter admits a request unless admission has ended.
func (c *Counter) Enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.count++
	return true
}

// Leave ends an admitted request.
func (c *Counter) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	c.signal()
}

// Close ends admission.
func (c *Counter) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.signal()
}

// signal reports the end.
func (c *Counter) signal() {
	if c.closed && c.count == 0 {
		close(c.empty)
	}
}

// Wait returns when nothing runs any more or ctx ends.
func (c *Counter) Wait(ctx context.Context) error {
	select {
	case <-c.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
