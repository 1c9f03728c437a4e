package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
)

// callerConn reads a caller's request body and writes the response. Before each read or write, its
// deadline is set to idleTimeout from then.
type callerConn struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	idleTimeout time.Duration
	// inbound is the request's body.
	inbound *hop.InboundBody
	// oldProtocol says that the caller speaks HTTP/1.0.
	oldProtocol bool
	// uploads says that the request has a body.
	uploads bool
}

// writeHeader sends the response header. length is the body's length in bytes, -1 when unknown.
func (c *callerConn) writeHeader(status int, length int64) {
	header := c.w.Header()
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from detecting a content type that the target did not state.
		header["Content-Type"] = nil
	}
	if length >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	c.inbound.BeforeHeader()
	c.extendWriteDeadline()
	c.w.WriteHeader(status)
}

// refuse sends a refusal as the whole response.
func (c *callerConn) refuse(refusal *Refusal) {
	c.inbound.BeforeRefusal()
	c.inbound.BeforeHeader()
	c.extendWriteDeadline()
	_ = refusal.details().Write(c.w)
}

// extendReadDeadline gives the caller idleTimeout for sending the next bytes.
func (c *callerConn) extendReadDeadline() {
	_ = c.control.SetReadDeadline(time.Now().Add(c.idleTimeout))
}

// extendWriteDeadline gives the caller idleTimeout for accepting the next bytes.
func (c *callerConn) extendWriteDeadline() {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.idleTimeout))
}

// done ends reads of the request's body and clears the write deadline, which would otherwise apply to the next
// request on the connection.
func (c *callerConn) done() {
	c.inbound.Done()
	_ = c.control.SetWriteDeadline(time.Time{})
}

// breakOff ends the request and its connection in the middle of the answer. To a caller of HTTP/1.0 the end of the
// connection is the end of an answer without a length, which would look whole unless the connection is reset.
func (c *callerConn) breakOff() {
	if c.oldProtocol {
		if conn, _, err := c.control.Hijack(); err == nil {
			if c.uploads {
				hop.ResetUpload(conn)
			} else {
				hop.Reset(conn)
			}
		}
	}
	panic(http.ErrAbortHandler)
}

// reader returns a reader that extends the read deadline before each read.
func (c *callerConn) reader(source io.Reader) io.Reader {
	return &callerReader{caller: c, source: source}
}

// callerReader reads from a caller and extends the read deadline.
type callerReader struct {
	caller *callerConn
	source io.Reader
}

// Read implements io.Reader.
func (r *callerReader) Read(p []byte) (int, error) {
	r.caller.extendReadDeadline()
	return r.source.Read(p)
}
