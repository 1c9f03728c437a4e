package hop

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxDrainBytes bounds how much of a refused request's body is read to keep the connection usable.
	maxDrainBytes = 256 << 10
	// drainTimeout bounds the time for reading it.
	drainTimeout = 100 * time.Millisecond
	// lingerTimeout bounds the time for reading more of the body after the response. It is longer than
	// drainTimeout, because it delays no response, and a reset could make the sender lose the response.
	lingerTimeout = time.Second
)

// InboundBody is the body of a request whose response may begin before the body has been read. By default net/http
// reads the rest of the body when the response begins, which would take bytes from the upload to a target that
// responds early. In full-duplex mode it does not, but a connection whose body is unread at the end of the
// handler must not be reused, because net/http would then read from it twice.
type InboundBody struct {
	body    io.ReadCloser
	control *http.ResponseController
	header  http.Header
	http1   bool
	// awaitsContinue is true while the sender holds the body back until "100 Continue".
	awaitsContinue bool
	ended          atomic.Bool
}

// NewInboundBody takes over the body of a request.
func NewInboundBody(w http.ResponseWriter, r *http.Request) *InboundBody {
	b := &InboundBody{body: r.Body, control: http.NewResponseController(w), header: w.Header(), http1: r.ProtoMajor == 1}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.ended.Store(true)
		return b
	}
	_, b.awaitsContinue = r.Header["Expect"]
	_ = b.control.EnableFullDuplex()
	r.Body = b
	return b
}

// Read implements io.Reader.
func (b *InboundBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// Close implements io.Closer.
func (b *InboundBody) Close() error {
	return b.body.Close()
}

// BeforeRefusal reads the rest of the body if it is short, so that the connection can be reused after a refusal.
func (b *InboundBody) BeforeRefusal() {
	if b.ended.Load() || b.awaitsContinue {
		return
	}
	_ = b.control.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, b, maxDrainBytes)
	_ = b.control.SetReadDeadline(time.Time{})
}

// BeforeHeader sets "Connection: close" on the response if the body has not been read to its end.
func (b *InboundBody) BeforeHeader() {
	if b.http1 && !b.ended.Load() {
		b.header["Connection"] = []string{"close"}
	}
}

// Done limits the time for further reads of an unread body. net/http then reads more of it, without which the
// sender could lose the response to a reset. If the body was read to its end, Done clears the read deadline for
// the connection's next request.
func (b *InboundBody) Done() {
	if b.ended.Load() {
		_ = b.control.SetReadDeadline(time.Time{})
		return
	}
	_ = b.control.SetReadDeadline(time.Now().Add(lingerTimeout))
}
