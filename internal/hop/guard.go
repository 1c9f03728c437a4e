package hop

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// guardedConn calls a check before the first byte of each request is written. This is after the last wait (for a
// free connection), so that a permission cannot expire in a wait between the check and the write.
type guardedConn struct {
	net.Conn
	check atomic.Pointer[func() error]
}

// Guard wraps a connection for use with Trace.
func Guard(conn net.Conn) net.Conn {
	return &guardedConn{Conn: conn}
}

// Write implements net.Conn. If the check fails, nothing is written.
func (g *guardedConn) Write(p []byte) (int, error) {
	if check := g.check.Swap(nil); check != nil {
		if err := (*check)(); err != nil {
			return 0, err
		}
	}
	return g.Conn.Write(p)
}

// Trace returns a client trace that calls check before the first byte of a request is written to a guarded
// connection, and connected when the connection is ready. It panics on a connection that is not guarded.
func Trace(connected func(conn net.Conn, reused bool), check func() error) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected(info.Conn, info.Reused)
			info.Conn.(*guardedConn).check.Store(&check)
		},
	}
}
