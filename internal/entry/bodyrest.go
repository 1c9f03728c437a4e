package entry

import (
	"bytes"
	"io"
	"sync/atomic"
)

// bodyRest is the part of a request body after the kept beginning. It can be read once.
type bodyRest struct {
	source io.Reader
	// left is the number of bytes that the service's limit still allows.
	left    int64
	limited bool
	started atomic.Bool
	key     []byte
	// tail holds the last bytes that were passed on, to find a key across two reads.
	tail []byte
	err  atomic.Pointer[error]
}

// newBodyRest returns the remainder after prefix.
func newBodyRest(source io.Reader, left int64, limited bool, prefix []byte, key string) *bodyRest {
	r := &bodyRest{source: source, left: left, limited: limited, key: []byte(key)}
	r.keepTail(prefix)
	return r
}

// touched reports whether a part was read.
func (r *bodyRest) touched() bool {
	return r.started.Load()
}

// failure returns the reason for which the upload ended early; nil when it did not.
func (r *bodyRest) failure() error {
	if r == nil {
		return nil
	}
	if err := r.err.Load(); err != nil {
		return *err
	}
	return nil
}

// read passes bytes on unless they complete the key or exceed the limit.
func (r *bodyRest) read(p []byte) (int, error) {
	r.started.Store(true)
	n, err := r.source.Read(p)
	switch {
	case r.limited && int64(n) > r.left:
		return 0, r.fail(errBodyTooLarge)
	case r.completesKey(p[:n]):
		return 0, r.fail(errKeyInBody)
	case err != nil && err != io.EOF:
		return n, r.fail(err)
	}
	r.left -= int64(n)
	return n, err
}

// fail records the reason.
func (r *bodyRest) fail(err error) error {
	r.err.Store(&err)
	return err
}

// completesKey reports whether the key is in p or ends in it.
func (r *bodyRest) completesKey(p []byte) bool {
	if len(p) == 0 || len(r.key) == 0 {
		return false
	}
	if bytes.Contains(p, r.key) {
		return true
	}
	seam := append(bytes.Clone(r.tail), p[:min(len(p), len(r.key))]...)
	if bytes.Contains(seam, r.key) {
		return true
	}
	r.keepTail(p)
	return false
}

// keepTail remembers the last bytes, one fewer than the key has.
func (r *bodyRest) keepTail(p []byte) {
	size := max(len(r.key)-1, 0)
	joined := append(r.tail, p[max(0, len(p)-size):]...)
	r.tail = bytes.Clone(joined[max(0, len(joined)-size):])
}
