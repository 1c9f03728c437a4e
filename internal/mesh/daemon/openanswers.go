package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// openAnswers knows the connections of other hosts on which the answer to an attempt has not been written out. The gate is
// idle once the slot is released, which is before that.
type openAnswers struct {
	mu sync.Mutex
	// begun counts the attempts; conns holds the number of the last one of each connection.
	begun uint64
	conns map[net.Conn]uint64
}

// peerConnKey is the context key of the connection of another host's request.
type peerConnKey struct{}

// withPeerConn stores the connection of requests in their context.
func withPeerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, peerConnKey{}, conn)
}

// begin notes that the request of ctx is an attempt, whose answer is written when its connection is idle or closed.
func (o *openAnswers) begin(ctx context.Context) {
	conn, ok := ctx.Value(peerConnKey{}).(net.Conn)
	if !ok {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conns == nil {
		o.conns = map[net.Conn]uint64{}
	}
	o.begun++
	o.conns[conn] = o.begun
}

// connState is the ConnState of the server.
func (o *openAnswers) connState(conn net.Conn, state http.ConnState) {
	if state == http.StateNew || state == http.StateActive {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, conn)
}

// latest returns the number of the last attempt that has begun.
func (o *openAnswers) latest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.begun
}

// upTo returns how many answers to attempts up to a number are not written out.
func (o *openAnswers) upTo(number uint64) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for _, n := range o.conns {
		if n <= number {
			count++
		}
	}
	return count
}
