package hangup

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// WithConn stores the connection of requests in their context. It can be used as http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnOf returns the connection of a request, and false if WithConn was not used.
func ConnOf(ctx context.Context) (net.Conn, bool) {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return conn, ok
}

// Left reports whether the sender of a request has closed its connection, or the writing side of it: no caller of this
// protocol goes on waiting after that. It returns false if WithConn was not used.
func Left(ctx context.Context) bool {
	conn, ok := ConnOf(ctx)
	return ok && closed(conn)
}

// Unread reports whether bytes of a connection, or its end, wait in the kernel to be read. It returns false if conn is no
// socket.
func Unread(conn net.Conn) bool {
	return onSocket(conn, func(fd int) bool {
		var next [1]byte
		_, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err == nil
	})
}

// closed reports whether the other side has closed a connection or reset it.
func closed(conn net.Conn) bool {
	return onSocket(conn, func(fd int) bool { return atEnd(fd) || endAnnounced(fd) })
}

// onSocket returns what test says of the socket of a connection, and false if conn is no open socket.
func onSocket(conn net.Conn, test func(fd int) bool) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	result := false
	// Unlike a read, Control does not wait for another read of the connection.
	err = raw.Control(func(fd uintptr) { result = test(int(fd)) })
	return result && err == nil
}

// atEnd reports whether a socket has nothing to read but the end of the connection.
func atEnd(fd int) bool {
	var next [1]byte
	n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return (n == 0 && err == nil) || errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.ETIMEDOUT)
}
