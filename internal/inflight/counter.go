package inflight

import (
	"context"
	"sync"
)

// Counter counts admitted requests that have not ended. It is safe for concurrent use.
type Counter struct {
	mu     sync.Mutex
	count  int
	closed bool
	// drained is closed when admission has ended and no request is running.
	drained chan struct{}
}

// New returns a counter that admits requests.
func New() *Counter {
	return &Counter{drained: make(chan struct{})}
}

// Enter admits and counts a request unless admission has ended.
func (c *Counter) Enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.count++
	return true
}

// Leave records the end of an admitted request.
func (c *Counter) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	c.signalDrained()
}

// Close ends admission. It may be called more than once.
func (c *Counter) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.signalDrained()
}

// signalDrained closes drained once admission has ended and no request is running.
func (c *Counter) signalDrained() {
	if c.closed && c.count == 0 {
		close(c.drained)
	}
}

// Wait waits until admission has ended and no request is running, or until ctx ends.
func (c *Counter) Wait(ctx context.Context) error {
	select {
	case <-c.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
