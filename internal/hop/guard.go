package hop

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// guardedConn calls a check before the first byte of each request is written. This is after the last wait (for a
// free connection), so that a permission cannot expire in a wait between the check and the write. It reads no answer whose
// status line is invalid, which net/http would accept, and takes no reset for the end of an answer.
type guardedConn struct {
	net.Conn
	check atomic.Pointer[func() error]
	// requested is set when the connection is taken for a request, to whose answers the next bytes belong.
	requested atomic.Bool
	// heads is used by the only reader; nil before the first request.
	heads *answerHeads
}

// Guard wraps a connection for use with Trace or CheckedTransport.
func Guard(conn net.Conn) net.Conn {
	return &guardedConn{Conn: conn}
}

// Read implements net.Conn. It returns ErrStatusLine for bytes that are no answer.
func (g *guardedConn) Read(p []byte) (int, error) {
	if g.heads != nil && g.heads.err != nil {
		// net/http may have taken the valid beginning of the line for a whole one and go on.
		return 0, g.heads.err
	}
	n, err := g.Conn.Read(p)
	err = EndOfStream(g.Conn, err)
	if g.requested.Load() && g.requested.Swap(false) {
		g.heads = &answerHeads{}
	}
	if g.heads == nil {
		return n, err
	}
	if valid, headErr := g.heads.check(p[:n]); headErr != nil {
		return valid, headErr
	}
	return n, err
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

// NetConn returns the connection that is wrapped.
func (g *guardedConn) NetConn() net.Conn {
	return g.Conn
}

// Trace returns a client trace that calls check before the first byte of a request is written to a guarded
// connection, and connected when the connection is ready. It panics on a connection that is not guarded.
func Trace(connected func(conn net.Conn, reused bool), check func() error) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected(info.Conn, info.Reused)
			conn := info.Conn.(*guardedConn)
			conn.check.Store(&check)
			conn.requested.Store(true)
		},
	}
}
