package hop

import (
	"crypto/tls"
	"io"
	"net"
	"syscall"
)

// EndOfStream returns the error of a read from a connection, with a reset in place of an end that follows one. The kernel reports a
// reset to one call only. If that was the write of a request, a read finds what looks like the end of the stream, and so of an
// answer without a length. Over TLS the end is authenticated.
func EndOfStream(conn net.Conn, err error) error {
	if err != io.EOF {
		return err
	}
	raw := rawConn(conn)
	if raw == nil {
		return err
	}
	reset := false
	if controlErr := raw.Control(func(fd uintptr) { reset = wasReset(int(fd)) }); controlErr != nil {
		// The write that got the error has closed the connection.
		return controlErr
	}
	if reset {
		return syscall.ECONNRESET
	}
	return err
}

// rawConn returns the socket of a connection, nil if it has none that says how it ended.
func rawConn(conn net.Conn) syscall.RawConn {
	for {
		if _, secured := conn.(*tls.Conn); secured {
			return nil
		}
		if socket, ok := conn.(syscall.Conn); ok {
			raw, err := socket.SyscallConn()
			if err != nil {
				return nil
			}
			return raw
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
}
