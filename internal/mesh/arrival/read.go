package arrival

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Read reads from a connection like its own Read, and returns for how long what it read has been there at least. It asks
// before it reads: the sender of a long body sends on as soon as there is room for more, and then the kernel tells only when
// that came.
func Read(conn net.Conn, p []byte) (n int, age time.Duration, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		n, err = conn.Read(p)
		return n, 0, err
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, 0, err
	}
	waitErr := raw.Read(func(fd uintptr) bool {
		age = 0
		if hasData(int(fd)) {
			age = sinceData(int(fd))
		}
		for {
			n, err = syscall.Read(int(fd), p)
			if !errors.Is(err, syscall.EINTR) {
				break
			}
		}
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case waitErr != nil:
		return 0, 0, waitErr
	case err != nil:
		return 0, 0, &net.OpError{Op: "read", Net: "tcp", Source: conn.LocalAddr(), Addr: conn.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0 && len(p) > 0:
		return 0, 0, io.EOF
	}
	return n, age, nil
}
