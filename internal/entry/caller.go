package entry

import (
	"io"
	"net/http"
	"time"
)

// caller is the connection to a caller. Each read and write restarts the time that the caller has for it.
type caller struct {
	w       http.ResponseWriter
	control *http.ResponseController
	silence time.Duration
}

// beforeRead restarts the time for sending bytes.
func (c *caller) beforeRead() {
	_ = c.control.SetReadDeadline(time.Now().Add(c.silence))
}

// beforeWrite restarts the time for accepting bytes.
func (c *caller) beforeWrite() {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.silence))
}

// done clears the deadlines, which would otherwise hit the next request of the connection.
func (c *caller) done() {
	_ = c.control.SetReadDeadline(time.Time{})
	_ = c.control.SetWriteDeadline(time.Time{})
}

// reader returns a reader that restarts the time for sending before each read.
func (c *caller) reader(source io.Reader) io.Reader {
	return &callerReader{caller: c, source: source}
}

// callerReader reads from a caller.
type callerReader struct {
	caller *caller
	source io.Reader
}

// Read implements io.Reader.
func (r *callerReader) Read(p []byte) (int, error) {
	r.caller.beforeRead()
	return r.source.Read(p)
}
