package callerconn

import (
	"context"
	"net"
	"sync/atomic"
)

// maxAheadInAll bounds the bytes that are read ahead on all connections of a listener.
const maxAheadInAll = 8 << 20

// Listener returns a listener whose connections are Conns.
func Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner}
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	// ahead counts the bytes that are read ahead on all connections.
	ahead atomic.Int64
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(inner, &l.ahead), nil
}

// contextKey is the key of a request's Conn in its context.
type contextKey struct{}

// WithConn is the ConnContext of a server: it stores the connection in the context of its requests.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, conn)
}

// FromContext returns the connection of a request, nil if it is not a Conn.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(contextKey{}).(*Conn)
	return conn
}
