package targetconn

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// bufferSize is the size of a connection's read and write buffers in bytes. Most requests and answers fit.
const bufferSize = 4 << 10

// conn is one connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleFor is how long the connection may stay unused.
	idleFor   time.Duration
	idleSince time.Time
}

// newConn wraps a new connection.
func newConn(c net.Conn) *conn {
	return &conn{
		Conn: c, reader: bufio.NewReaderSize(c, bufferSize), writer: bufio.NewWriterSize(c, bufferSize), idleFor: defaultIdle,
	}
}

// close closes the connection; its error has no consequence.
func (c *conn) close() {
	_ = c.Close()
}

// quiet reports whether the connection is open and holds no bytes that nobody asked for.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = access.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, readErr := syscall.Read(int(fd), probe[:])
		// No byte and no end of the stream: the read would have to wait.
		open = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// noteIdle reads how long the target keeps the connection when it is unused.
func (c *conn) noteIdle(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idleFor = max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
}
