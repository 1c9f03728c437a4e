package connlimit

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/memaccount"
)

// Accepting returns a listener that bounds the number of connections. It must be next to the socket.
func (g *Guard) Accepting(inner net.Listener) net.Listener {
	tcp, ok := inner.(*net.TCPListener)
	if !ok {
		return inner
	}
	return &acceptor{TCPListener: tcp, guard: g}
}

// acceptor wraps the connections that it accepts.
type acceptor struct {
	*net.TCPListener
	guard *Guard
}

// Accept implements net.Listener.
func (a *acceptor) Accept() (net.Conn, error) {
	for {
		tcp, err := a.AcceptTCP()
		if err != nil {
			return nil, err
		}
		s := &Socket{TCPConn: tcp, guard: a.guard}
		holder, victims, ok := a.guard.Account.Open(a.guard.Clock.Now(), a.guard.Owner, s.giveWay)
		a.guard.end(victims)
		if ok {
			s.holder = holder
			return s, nil
		}
		a.guard.turnAway(tcp)
	}
}

// Socket is a connection in the account.
type Socket struct {
	*net.TCPConn
	guard  *Guard
	holder *memaccount.Holder
	// writeDeadline is the one that the user of the connection has set, in Unix nanoseconds; zero without one.
	writeDeadline atomic.Int64
}

// socketOf returns the socket under a connection, nil if there is none.
func socketOf(conn net.Conn) *Socket {
	for {
		if s, ok := conn.(*Socket); ok {
			return s
		}
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = outer.NetConn()
	}
}

// giveWay ends the connection for others.
func (s *Socket) giveWay() {
	s.guard.count(GaveWay)
	_ = s.TCPConn.Close()
}

// Close implements net.Conn.
func (s *Socket) Close() error {
	s.holder.Close()
	return s.TCPConn.Close()
}

// SetWriteDeadline implements net.Conn.
func (s *Socket) SetWriteDeadline(t time.Time) error {
	s.noteWriteDeadline(t)
	return s.TCPConn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (s *Socket) SetDeadline(t time.Time) error {
	s.noteWriteDeadline(t)
	return s.TCPConn.SetDeadline(t)
}

// noteWriteDeadline keeps a deadline that must not be passed.
func (s *Socket) noteWriteDeadline(t time.Time) {
	if t.IsZero() {
		s.writeDeadline.Store(0)
		return
	}
	s.writeDeadline.Store(t.UnixNano())
}

// Write implements net.Conn. It fails when the reader takes nothing for WriteTimeout, or at the deadline that was set.
func (s *Socket) Write(p []byte) (int, error) {
	s.holder.BeginWrite(s.guard.Clock.Now(), int64(len(p)))
	defer s.holder.EndWrite(int64(len(p)))
	written := 0
	for {
		until := time.Now().Add(s.guard.Limits().WriteTimeout)
		own := s.writeDeadline.Load()
		isOwn := own != 0 && own < until.UnixNano()
		if isOwn {
			until = time.Unix(0, own)
		}
		if err := s.TCPConn.SetWriteDeadline(until); err != nil {
			return written, err
		}
		n, err := s.TCPConn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if own := s.writeDeadline.Load(); own != 0 && own <= time.Now().UnixNano() {
			return written, err
		}
		if n == 0 {
			s.guard.count(ReaderTooSlow)
			return written, err
		}
		s.holder.Wrote(s.guard.Clock.Now())
	}
}
