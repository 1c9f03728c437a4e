package targetconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
)

// bufferSize is the size of a connection's read and write buffers, in bytes. Most requests and responses fit.
const bufferSize = 4 << 10

// conn is one connection to the target.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleTimeout is how long the connection may stay idle before it is no longer reused.
	idleTimeout time.Duration
	idleSince   time.Time
	// inHead is true while the head of a response is read, of which headLeft more bytes may come.
	inHead   bool
	headLeft int
}

// newConn wraps a new connection.
func newConn(c net.Conn) *conn {
	wrapped := &conn{Conn: c, writer: bufio.NewWriterSize(c, bufferSize), idleTimeout: defaultIdleTimeout}
	wrapped.reader = bufio.NewReaderSize(wrapped, bufferSize)
	return wrapped
}

// Read implements io.Reader. It bounds the head of a response, and takes no reset for the end of a response.
func (c *conn) Read(p []byte) (int, error) {
	if c.inHead {
		if c.headLeft <= 0 {
			return 0, ErrHeadTooLong
		}
		p = p[:min(len(p), c.headLeft)]
	}
	n, err := c.Conn.Read(p)
	if c.inHead {
		c.headLeft -= n
	}
	return n, hop.EndOfStream(c.Conn, err)
}

// readHead reads the head of the next response.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.inHead, c.headLeft = true, maxHeadBytes
	defer func() { c.inHead = false }()
	if err := c.checkStatusLine(); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, request)
}

// checkStatusLine checks the status line of the next response without consuming it. A line that fills the buffer counts as
// malformed.
func (c *conn) checkStatusLine() error {
	var line hop.StatusLine
	for n := 1; !line.Ended(); n++ {
		seen, err := c.reader.Peek(n)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return hop.ErrStatusLine
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		if err := line.Add(seen[n-1]); err != nil {
			return err
		}
	}
	return nil
}

// close closes the connection and ignores the error.
func (c *conn) close() {
	_ = c.Close()
}

// reusable reports whether the connection is open and holds no unsolicited bytes, which the next request would read as
// its response.
func (c *conn) reusable() bool {
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
		// A read that would block shows that there is neither a byte nor the end of the stream.
		open = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// readKeepAlive sets the idle timeout from the Keep-Alive header of a response.
func (c *conn) readKeepAlive(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idleTimeout = max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
}
