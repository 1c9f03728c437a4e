package hop

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// drainBytes bounds the part of a refused request's body that is read to keep the connection usable.
	drainBytes = 256 << 10
	// drainTime bounds the time for it.
	drainTime = 100 * time.Millisecond
	// lingerTime bounds the time for reading a further part after the response. It is longer, because nobody
	// waits for it and a reset would cost the sender the response.
	lingerTime = time.Second
)

// Inbound is the body of a request that may be answered before it was read. In its default mode net/http
// reads the rest of a body itself when a response begins, which would take bytes from the upload to a target
// that answers early. In full duplex mode it does not, but a connection whose body is unread at the end of
// the handler must not be used again, because net/http would then read from it twice.
type Inbound struct {
	body    io.ReadCloser
	control *http.ResponseController
	header  http.Header
	http1   bool
	// held says that the sender waits to be asked for the body.
	held  bool
	ended atomic.Bool
}

// NewInbound takes over the body of a request.
func NewInbound(w http.ResponseWriter, r *http.Request) *Inbound {
	b := &Inbound{body: r.Body, control: http.NewResponseController(w), header: w.Header(), http1: r.ProtoMajor == 1}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.ended.Store(true)
		return b
	}
	_, b.held = r.Header["Expect"]
	_ = b.control.EnableFullDuplex()
	r.Body = b
	return b
}

// Read implements io.Reader.
func (b *Inbound) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// Close implements io.Closer.
func (b *Inbound) Close() error {
	return b.body.Close()
}

// BeforeRefusal reads a short rest, so that a refusal does not cost the connection.
func (b *Inbound) BeforeRefusal() {
	if b.ended.Load() || b.held {
		return
	}
	_ = b.control.SetReadDeadline(time.Now().Add(drainTime))
	_, _ = io.CopyN(io.Discard, b, drainBytes)
	_ = b.control.SetReadDeadline(time.Time{})
}

// BeforeHeader ends the connection with this response if the body is not read by now.
func (b *Inbound) BeforeHeader() {
	if b.http1 && !b.ended.Load() {
		b.header["Connection"] = []string{"close"}
	}
}

// Done ends reads that are still under way. net/http then reads a further part of the rest, without which the
// sender could lose the response to a reset. The deadline is cleared for the connection's next request.
func (b *Inbound) Done() {
	if b.ended.Load() {
		_ = b.control.SetReadDeadline(time.Time{})
		return
	}
	_ = b.control.SetReadDeadline(time.Now().Add(lingerTime))
}
