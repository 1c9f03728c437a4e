package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
)

// caller is the connection to a caller, or to the daemon that forwarded a caller's request. Each read and
// write restarts the time that the other end has for it.
type caller struct {
	w       http.ResponseWriter
	control *http.ResponseController
	silence time.Duration
	// inbound is the request's body; nil for forwarded requests, whose reply owns it.
	inbound *hop.Inbound
	// reply certifies the response to a forwarding daemon; nil for callers.
	reply *hop.Reply
}

// start ends the signs of life that precede a response, so that its header may be set.
func (c *caller) start() {
	if c.reply != nil {
		c.reply.Start()
	}
}

// begin sends the header that was set. length is the body's length in bytes, -1 when unknown.
func (c *caller) begin(status int, length int64) {
	header := c.w.Header()
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing a content type that the target did not state.
		header["Content-Type"] = nil
	}
	switch {
	case c.reply != nil:
		c.reply.Header(hop.Response{Verdict: hop.Ran, Length: length})
	case length >= 0:
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
		c.inbound.BeforeHeader()
	default:
		c.inbound.BeforeHeader()
	}
	c.beforeWrite()
	c.w.WriteHeader(status)
}

// complete certifies that the whole body was written.
func (c *caller) complete() {
	if c.reply != nil {
		c.reply.Complete()
	}
}

// refuse sends a refusal as the whole response.
func (c *caller) refuse(refusal *Refusal) {
	if c.reply != nil {
		c.reply.Problem(hop.Response{Verdict: hop.Ran}, refusal.details())
		return
	}
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
	if c.inbound != nil {
		c.inbound.Done()
	}
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
