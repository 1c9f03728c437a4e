package targetconn

// pendingWrite is the transmission of one request, which may still be in progress.
type pendingWrite struct {
	done    chan struct{}
	err     error
	guarded *guardedWriter
}

// writeRequest sends the request, in the background if the body is long or not entirely in memory.
func (p *Pool) writeRequest(c *conn, r *Request) *pendingWrite {
	w := &pendingWrite{done: make(chan struct{}), guarded: &guardedWriter{conn: c.Conn, permit: r.Permit}}
	if r.Stamp != nil {
		r.Stamp(r.Header)
	}
	c.writer.Reset(&requestLineWriter{out: w.guarded, line: r.requestLine()})
	request := r.encode()
	send := func() {
		defer close(w.done)
		if w.err = request.Write(c.writer); w.err == nil {
			w.err = c.writer.Flush()
		}
		if w.err != nil {
			// Otherwise a target that waits for the rest of the body would wait forever.
			c.close()
		}
	}
	if r.Rest == nil && len(r.Body) <= maxInlineBodyBytes {
		send()
	} else {
		go send()
	}
	return w
}

// finished reports whether the whole request was written.
func (w *pendingWrite) finished() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// failure returns the error that ended the write, or is about to; nil while the write is in progress.
func (w *pendingWrite) failure() error {
	select {
	case <-w.done:
		return w.err
	default:
		return w.forbidden()
	}
}

// forbidden returns the error with which the request was no longer permitted, nil if it is permitted.
func (w *pendingWrite) forbidden() error {
	if failure := w.guarded.forbidden.Load(); failure != nil {
		return *failure
	}
	return nil
}

// sent reports whether a byte of the request may have reached the target.
func (w *pendingWrite) sent() bool {
	return w.guarded.began.Load()
}
