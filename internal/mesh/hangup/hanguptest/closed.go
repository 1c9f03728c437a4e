// Package hanguptest provides the connection of a caller that has left, for tests.
package hanguptest

import (
	"net"
	"time"
)

// settle is longer than the kernel needs to deliver the end of a connection on loopback.
const settle = 20 * time.Millisecond

// Closed returns a connection that its other side has closed.
func Closed() (net.Conn, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	accepted, err := listener.Accept()
	_ = dialled.Close()
	time.Sleep(settle)
	return accepted, err
}
