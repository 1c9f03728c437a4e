package targetconn

import (
	"sync/atomic"
)

// writing is the sending of one request.
type writing struct {
	done  chan struct{}
	err   error
	bytes *countingWriter
}

// countingWriter remembers whether a byte left this process.
type countingWriter struct {
	conn *conn
	any  atomic.Bool
}

// Write implements io.Writer.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.conn.Conn.Write(b)
	if n > 0 {
		w.any.Store(true)
	}
	return n, err
}

// write sends the request, a long body in the background.
func (p *Pool) write(c *conn, r *Request) *writing {
	w := &writing{done: make(chan struct{}), bytes: &countingWriter{conn: c}}
	c.writer.Reset(w.bytes)
	request := r.encode()
	send := func() {
		defer close(w.done)
		if w.err = request.Write(c.writer); w.err == nil {
			w.err = c.writer.Flush()
		}
		if w.err != nil {
			// A target that waits for the rest of the body would wait for ever.
			c.close()
		}
	}
	if r.Rest == nil && len(r.Body) <= inlineBody {
		send()
	} else {
		go send()
	}
	return w
}

// finished reports whether the whole request was written.
func (w *writing) finished() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// failed returns the error of a request that is no longer being written.
func (w *writing) failed() error {
	select {
	case <-w.done:
		return w.err
	default:
		return nil
	}
}

// sent reports whether a byte of the request may have reached the target.
func (w *writing) sent() bool {
	return w.bytes.any.Load()
}
