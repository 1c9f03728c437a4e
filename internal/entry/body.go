package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

// keptBody is the largest part of a request body that is held in memory, in bytes.
const keptBody = 64 << 10

// errKeyInBody ends an upload that contains the caller's key.
var errKeyInBody = errors.New("request body contains the key")

// errBodyTooLarge ends an upload above the service's limit.
var errBodyTooLarge = errors.New("request body is too large")

// errDetached ends reads of an attempt that is over.
var errDetached = errors.New("attempt is over")

// body is a request body whose beginning is held in memory. If that is all of it, it can be sent again.
type body struct {
	prefix []byte
	// rest is the remainder; nil when the prefix is the whole body.
	rest *bodyRest
	// length is the length in bytes, -1 when unknown.
	length int64
}

// readBody reads the beginning of a request's body.
func readBody(r *http.Request, c *caller, limit int64, key string) (*body, error) {
	if r.Body == nil || r.ContentLength == 0 {
		return &body{}, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	source := c.reader(r.Body)
	size := int64(keptBody)
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
	rest := newBodyRest(source, limit-int64(n), limit > 0, prefix, key)
	return &body{prefix: prefix, rest: rest, length: r.ContentLength}, nil
}

// repeatable reports whether another attempt can send the body again.
func (b *body) repeatable() bool {
	return b.rest == nil || !b.rest.touched()
}

// reader returns the body for one attempt, and a function that ends the attempt's reads.
func (b *body) reader() (io.Reader, func()) {
	if b.rest == nil {
		if len(b.prefix) == 0 {
			return nil, func() {}
		}
		return bytes.NewReader(b.prefix), func() {}
	}
	attempt := &attemptRest{rest: b.rest}
	return io.MultiReader(bytes.NewReader(b.prefix), attempt), attempt.detach
}

// attemptRest gives one attempt access to the remainder. The transport may go on reading after the attempt
// has ended, which must not take bytes from the next attempt.
type attemptRest struct {
	mu   sync.Mutex
	rest *bodyRest
}

// Read implements io.Reader.
func (a *attemptRest) Read(p []byte) (int, error) {
	a.mu.Lock()
	rest := a.rest
	a.mu.Unlock()
	if rest == nil {
		return 0, errDetached
	}
	return rest.read(p)
}

// detach ends the attempt's reads.
func (a *attemptRest) detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rest = nil
}
