package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

// maxBufferedBodyBytes is the largest prefix of a request body that is held in memory.
const maxBufferedBodyBytes = 64 << 10

// errKeyInBody rejects a request body that contains the caller's key.
var errKeyInBody = errors.New("request body contains the key")

// errBodyTooLarge rejects a request body above the service's limit.
var errBodyTooLarge = errors.New("request body is too large")

// errDetached is returned to reads of an attempt that has ended.
var errDetached = errors.New("attempt has ended")

// body is a request body whose prefix is held in memory. A body without a remainder can be sent again.
type body struct {
	prefix []byte
	// rest is the remainder, which is streamed; nil when the prefix is the whole body.
	rest *streamedBody
	// length is the length in bytes, -1 when unknown.
	length int64
}

// readBody reads the prefix of a request's body and checks it for the key and the size limit. A limit of zero
// means none.
func readBody(r *http.Request, c *callerConn, limit int64, key string) (*body, error) {
	if r.Body == nil || r.ContentLength == 0 {
		return &body{}, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	source := c.reader(r.Body)
	size := int64(maxBufferedBodyBytes)
	if r.ContentLength > 0 {
		size = min(size, r.ContentLength)
	}
	prefix := make([]byte, size)
	n, err := io.ReadFull(source, prefix)
	prefix = prefix[:n]
	ended := err == io.EOF || err == io.ErrUnexpectedEOF
	if err != nil && !(ended && r.ContentLength < 0) {
		return nil, err
	}
	if bytes.Contains(prefix, []byte(key)) {
		return nil, errKeyInBody
	}
	if limit > 0 && int64(n) > limit {
		return nil, errBodyTooLarge
	}
	if ended || r.ContentLength == size {
		return &body{prefix: prefix, length: int64(n)}, nil
	}
	rest := newStreamedBody(source, limit-int64(n), limit > 0, prefix, key)
	return &body{prefix: prefix, rest: rest, length: r.ContentLength}, nil
}

// resendable reports whether another attempt can send the whole body.
func (b *body) resendable() bool {
	return b.rest == nil || !b.rest.consumed()
}

// reader returns the body for one attempt, and a function that ends the attempt's reads.
func (b *body) reader() (io.Reader, func()) {
	if b.rest == nil {
		if len(b.prefix) == 0 {
			return nil, func() {}
		}
		return bytes.NewReader(b.prefix), func() {}
	}
	attempt := &attemptReader{rest: b.rest}
	return io.MultiReader(bytes.NewReader(b.prefix), attempt), attempt.detach
}

// attemptReader reads the remainder for one attempt. The transport may go on reading after the attempt has ended,
// which must not take bytes from the next attempt.
type attemptReader struct {
	mu   sync.Mutex
	rest *streamedBody
}

// Read implements io.Reader.
func (a *attemptReader) Read(p []byte) (int, error) {
	a.mu.Lock()
	rest := a.rest
	a.mu.Unlock()
	if rest == nil {
		return 0, errDetached
	}
	return rest.read(p)
}

// detach ends the attempt's reads.
func (a *attemptReader) detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rest = nil
}
