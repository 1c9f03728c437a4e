package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
)

// caller is the connection to a caller. Each read and write restarts the time that the caller has for it.
type caller struct {
	w       http.ResponseWriter
	control *http.ResponseController
	silence time.Duration
	// inbound is the request's body.
	inbound *hop.Inbound
}

// begin sends the header that was set. length is the body's length in bytes, -1 when unknown.
func (c *caller) begin(status int, length int64) {
	header := c.w.Header()
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing a content type that the target did not state.
		header["Content-Type"] = nil
	}
	if length >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	c.inbound.BeforeHeader()
	c.beforeWrite()
	c.w.WriteHeader(status)
}

// refuse sends a refusal as the whole response.
func (c *caller) refuse(refusal *Refusal) {
	c.inbound.BeforeRefusal()
	c.inbound.BeforeHeader()
	c.beforeWrite()
	_ = refusal.details().Write(c.w)
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
	c.inbound.Done()
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
