package arrival

import (
	"net"
	"syscall"
	"time"
)

// Age returns how long ago the latest bytes of a connection arrived, zero if the kernel does not tell.
func Age(conn net.Conn) time.Duration {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	age := time.Duration(0)
	// Unlike a read, Control does not wait for another read of the connection.
	if raw.Control(func(fd uintptr) { age = sinceData(int(fd)) }) != nil {
		return 0
	}
	return age
}
