package hop

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// guardedConn asks before the first byte of each request is written. The question is asked after the last
// wait (a free connection), so a permission cannot expire between the question and the write.
type guardedConn struct {
	net.Conn
	ask atomic.Pointer[func() error]
}

// Guard wraps a connection for use with Trace.
func Guard(conn net.Conn) net.Conn {
	return &guardedConn{Conn: conn}
}

// Write implements net.Conn. When the question is refused, nothing is written.
func (g *guardedConn) Write(p []byte) (int, error) {
	if ask := g.ask.Swap(nil); ask != nil {
		if err := (*ask)(); err != nil {
			return 0, err
		}
	}
	return g.Conn.Write(p)
}

// Trace returns a client trace that calls ask before the first byte of a request is written to a guarded
// connection, and connected when the connection is ready. It panics on a connection that is not guarded.
func Trace(connected func(reused bool), ask func() error) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected(info.Reused)
			info.Conn.(*guardedConn).ask.Store(&ask)
		},
	}
}
