package hoptest

import (
	"io"
	"net"
)

// Ending is how a process ends a connection.
type Ending int

const (
	// Closed ends it in both directions, HalfClosed only in that of the answer, and Reset with a reset.
	Closed Ending = iota
	HalfClosed
	Reset
)

// Endings lists all endings.
var Endings = []Ending{Closed, HalfClosed, Reset}

// String implements fmt.Stringer.
func (e Ending) String() string {
	return [...]string{"closed", "half-closed", "reset"}[e]
}

// End ends a connection. After a half-close it waits until the other side has closed it, too.
func (e Ending) End(conn net.Conn) {
	tcp := conn.(*net.TCPConn)
	switch e {
	case HalfClosed:
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, tcp)
	case Reset:
		_ = tcp.SetLinger(0)
	}
	_ = tcp.Close()
}
