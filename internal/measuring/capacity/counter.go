package capacity

import (
	"net"
	"sync/atomic"
)

// Bytes are the bytes that the measured daemon sent and received.
type Bytes struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

// counter counts the bytes of connections with the measured daemon.
type counter struct {
	sent, received atomic.Int64
}

// bytes returns the count.
func (c *counter) bytes() Bytes {
	return Bytes{Sent: c.sent.Load(), Received: c.received.Load()}
}

// wrap returns the connection with its bytes counted.
func (c *counter) wrap(conn net.Conn) net.Conn {
	return &countedConn{Conn: conn, counter: c}
}

// countedConn is the stand-ins' end of a connection: what it reads, the daemon sent.
type countedConn struct {
	net.Conn
	counter *counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.sent.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.received.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of accepted connections.
type countedListener struct {
	net.Listener
	counter *counter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.wrap(conn), nil
}
