// Package hanguptest provides connections of callers that leave, for tests.
package hanguptest

import (
	"net"
	"time"
)

// settle is longer than the kernel needs to deliver the end of a connection on loopback.
const settle = 20 * time.Millisecond

// Closed returns a connection that its other side has closed.
func Closed() (net.Conn, error) {
	accepted, dialled, err := Open()
	if err == nil {
		Close(dialled)
	}
	return accepted, err
}

// Close closes one side of a connection and waits until the other side can know.
func Close(side net.Conn) {
	_ = side.Close()
	time.Sleep(settle)
}

// Open returns both sides of a connection.
func Open() (accepted, dialled net.Conn, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = listener.Close() }()
	dialled, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	accepted, err = listener.Accept()
	return accepted, dialled, err
}
