package connlimit

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/memaccount"
)

// Reading returns a listener whose connections pass on heads when they are whole. It must be next to the server, above Accepting.
func (g *Guard) Reading(inner net.Listener) net.Listener {
	return &reader{Listener: inner, guard: g}
}

// reader wraps the connections that it accepts.
type reader struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (r *reader) Accept() (net.Conn, error) {
	inner, err := r.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := socketOf(inner)
	if s == nil {
		return inner, nil
	}
	return &Conn{Conn: inner, guard: r.guard, holder: s.holder}, nil
}

// Conn is a connection whose heads are held until they are whole. Its reads must not overlap.
type Conn struct {
	net.Conn
	guard  *Guard
	holder *memaccount.Holder
	// early are the bytes of the next head that the server has read ahead, during the handler of the request before.
	early []byte
	// out is the rest of a whole head that the server has not read, pending what was received behind that or behind the body.
	out, pending []byte
	// body is the body that is being received; nil without one.
	body *body
	// bodyEnds is when the body must have been received; zero without a bound.
	bodyEnds time.Time
	// ended is set once no further request may be read.
	ended bool
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the writing side, which the server does to let a caller get an answer.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

// errRefused is the cause of a read that ended with a refusal.
var errRefused = errors.New("refused within the limits of connections")

// refusedRead is errRefused in the form to which net/http adds no answer of its own.
var refusedRead = &net.OpError{Op: "read", Net: "tcp", Err: errRefused}

// Read implements net.Conn. A read of a single byte between two requests is the one with which net/http looks ahead.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case c.ended:
		return 0, io.EOF
	case len(c.out) > 0:
		n := copy(p, c.out)
		c.out = c.out[n:]
		if len(c.out) == 0 {
			c.out = nil
		}
		return n, nil
	case c.body != nil:
		return c.readBody(p)
	case len(p) == 1:
		return c.lookAhead(p)
	}
	return c.readHead(p)
}

// lookAhead reads the first byte of the next head while a request is being served.
func (c *Conn) lookAhead(p []byte) (int, error) {
	n, err := 1, error(nil)
	if len(c.pending) > 0 {
		n = c.takePending(p)
	} else {
		n, err = c.Conn.Read(p)
	}
	c.early = append(c.early, p[:n]...)
	return n, err
}

// requestLineBytes bounds the first line of a head.
const requestLineBytes = 8 << 10

// readHead reads until a head is whole and returns its beginning. An ordinary head comes with one read and is not copied.
func (c *Conn) readHead(p []byte) (int, error) {
	limits := c.guard.Limits()
	raw, given := c.early, len(c.early)
	c.early = nil
	begun := given > 0 || len(c.pending) > 0
	if begun {
		c.begin(limits)
	} else {
		_ = c.Conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	}
	for {
		chunk := c.pending
		c.pending = nil
		if len(chunk) == 0 {
			n, err := c.Conn.Read(p)
			if n == 0 {
				return 0, c.headFailed(err, begun)
			}
			chunk = p[:n]
		}
		if !begun {
			begun = true
			c.begin(limits)
		}
		head := chunk
		if len(raw) > 0 {
			raw = append(raw, chunk...)
			head = raw
		}
		end := headEnd(head, len(head)-len(chunk))
		switch {
		case end < 0 && len(head) > limits.HeaderBytes+requestLineBytes:
			return 0, c.refuse(tooLarge, HeadTooLarge)
		case end < 0:
			if !c.charge(memaccount.HeadBytes(len(chunk), 0)) {
				return 0, c.refuse(unavailable, HeadNoMemory)
			}
			if len(raw) == 0 {
				raw = append(raw, chunk...)
			}
			continue
		}
		rest := head[end:]
		head = head[:end]
		if fieldBytes(head) > limits.HeaderBytes {
			return 0, c.refuse(tooLarge, HeadTooLarge)
		}
		if !c.charge(memaccount.HeadBytes(min(end, len(chunk)), countLines(head))) {
			return 0, c.refuse(unavailable, HeadNoMemory)
		}
		_ = c.Conn.SetReadDeadline(time.Time{})
		c.pending = append([]byte(nil), rest...)
		c.body = bodyOf(head)
		c.bodyEnds = time.Time{}
		if c.body == nil {
			c.holder.Begin(c.guard.Clock.Now(), memaccount.Working)
		} else if limits.BodyTimeout > 0 {
			c.bodyEnds = time.Now().Add(limits.BodyTimeout)
		}
		n := copy(p, head[given:])
		if n < len(head)-given {
			c.out = append([]byte(nil), head[given+n:]...)
		}
		return n, nil
	}
}

// begin notes the first byte of a head.
func (c *Conn) begin(limits Limits) {
	c.holder.Begin(c.guard.Clock.Now(), memaccount.Receiving)
	_ = c.Conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
}

// headFailed counts a head that did not come in time and returns the error of its read.
func (c *Conn) headFailed(err error, begun bool) error {
	if begun && errors.Is(err, os.ErrDeadlineExceeded) {
		c.guard.count(HeadTooSlow)
	}
	return err
}

// readBody reads a part of the body.
func (c *Conn) readBody(p []byte) (int, error) {
	n := 0
	if len(c.pending) > 0 {
		n = c.takePending(p)
	} else {
		if !c.bodyEnds.IsZero() {
			_ = c.Conn.SetReadDeadline(c.bodyEnds)
		}
		var err error
		if n, err = c.Conn.Read(p); n == 0 {
			if !c.bodyEnds.IsZero() && errors.Is(err, os.ErrDeadlineExceeded) {
				c.guard.count(BodyTooSlow)
			}
			return 0, err
		}
	}
	used := c.body.consume(p[:n])
	if used < n {
		c.pending = append(append([]byte(nil), p[used:n]...), c.pending...)
	}
	if more := c.body.charge(); more > 0 && !c.charge(more) {
		c.guard.count(BodyNoMemory)
		c.ended = true
		_ = c.Conn.Close()
		return 0, refusedRead
	}
	if c.body.state == bodyDone {
		c.body = nil
		c.holder.Begin(c.guard.Clock.Now(), memaccount.Working)
		if !c.bodyEnds.IsZero() {
			// The server's look ahead for the next request has no deadline.
			_ = c.Conn.SetReadDeadline(time.Time{})
		}
	}
	return used, nil
}

// takePending moves bytes that were received before to p.
func (c *Conn) takePending(p []byte) int {
	n := copy(p, c.pending)
	if c.pending = c.pending[n:]; len(c.pending) == 0 {
		c.pending = nil
	}
	return n
}

// charge charges the request and ends the connections that give way for it.
func (c *Conn) charge(bytes int64) bool {
	victims, ok := c.holder.Charge(c.guard.Clock.Now(), bytes)
	c.guard.end(victims)
	return ok
}

// answered notes that the answer to a request was written out.
func (c *Conn) answered() {
	c.holder.Finish()
	c.holder.Begin(c.guard.Clock.Now(), memaccount.Kept)
	c.ended = c.ended || c.body != nil
}

// refuse answers a head that is not passed on and ends the connection.
func (c *Conn) refuse(answer string, reason Reason) error {
	c.guard.count(reason)
	c.ended = true
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.Conn, answer); err != nil {
		return refusedRead
	}
	_ = c.CloseWrite()
	c.holder.Finish()
	// What the caller still sends is dropped; see lingerTime.
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	return refusedRead
}
