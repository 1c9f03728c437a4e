package targetconn

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// guardedWriter writes a request to a connection while that is permitted. The process may be paused at any time, also while
// it waits for a target that does not read, so that permission is asked for each system call. What a pause between asking and
// the call lets through is noticed by asking again after the call.
type guardedWriter struct {
	conn   net.Conn
	permit func(began bool) error
	// began is set once a byte was handed to the kernel.
	began atomic.Bool
	// forbidden is set when the request is no longer permitted.
	forbidden atomic.Pointer[error]
}

// Write implements io.Writer.
func (w *guardedWriter) Write(p []byte) (int, error) {
	socket, ok := w.conn.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	written := 0
	var failure error
	err = raw.Write(func(fd uintptr) bool {
		for written < len(p) && failure == nil {
			if failure = w.ask(); failure != nil {
				return true
			}
			n, err := syscall.Write(int(fd), p[written:])
			switch {
			case errors.Is(err, syscall.EAGAIN):
				// The connection's buffers are full; the runtime calls again when there is room.
				return false
			case errors.Is(err, syscall.EINTR):
				continue
			case err != nil:
				failure = err
			case n == 0:
				failure = io.ErrUnexpectedEOF
			default:
				written += n
				w.began.Store(true)
				failure = w.ask()
			}
		}
		return true
	})
	if failure == nil {
		failure = err
	}
	return written, failure
}

// ask returns an error once the request is not permitted any more.
func (w *guardedWriter) ask() error {
	if w.permit == nil {
		return nil
	}
	err := w.permit(w.began.Load())
	if err != nil {
		w.forbidden.Store(&err)
	}
	return err
}

// errNoSocket reports a connection without a file descriptor. A Pool makes none.
var errNoSocket = errors.New("the connection is no socket")
