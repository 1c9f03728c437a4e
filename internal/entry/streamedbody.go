package entry

import (
	"bytes"
	"io"
	"sync/atomic"
)

// streamedBody is the part of a request body after the buffered prefix. It can be read once.
type streamedBody struct {
	source io.Reader
	// remaining is the number of bytes that the service's limit still allows.
	remaining int64
	limited   bool
	started   atomic.Bool
	key       []byte
	// tail holds the last bytes that were passed on, to detect a key that spans two reads.
	tail []byte
	err  atomic.Pointer[error]
}

// newStreamedBody returns the remainder after prefix. If limited, it may have at most remaining bytes.
func newStreamedBody(source io.Reader, remaining int64, limited bool, prefix []byte, key string) *streamedBody {
	r := &streamedBody{source: source, remaining: remaining, limited: limited, key: []byte(key)}
	r.keepTail(prefix)
	return r
}

// consumed reports whether a read has started.
func (r *streamedBody) consumed() bool {
	return r.started.Load()
}

// failure returns the error that ended the upload early; nil when there was none.
func (r *streamedBody) failure() error {
	if r == nil {
		return nil
	}
	if err := r.err.Load(); err != nil {
		return *err
	}
	return nil
}

// read reads from the source and fails if the bytes complete the key or exceed the limit.
func (r *streamedBody) read(p []byte) (int, error) {
	r.started.Store(true)
	n, err := r.source.Read(p)
	switch {
	case r.limited && int64(n) > r.remaining:
		return 0, r.fail(errBodyTooLarge)
	case r.completesKey(p[:n]):
		return 0, r.fail(errKeyInBody)
	case err != nil && err != io.EOF:
		return n, r.fail(err)
	}
	r.remaining -= int64(n)
	return n, err
}

// fail records and returns the error that ends the upload.
func (r *streamedBody) fail(err error) error {
	r.err.Store(&err)
	return err
}

// completesKey reports whether p contains the key or the end of one that began in earlier reads.
func (r *streamedBody) completesKey(p []byte) bool {
	if len(p) == 0 || len(r.key) == 0 {
		return false
	}
	if bytes.Contains(p, r.key) {
		return true
	}
	overlap := append(bytes.Clone(r.tail), p[:min(len(p), len(r.key))]...)
	if bytes.Contains(overlap, r.key) {
		return true
	}
	r.keepTail(p)
	return false
}

// keepTail appends p to the tail and keeps its last len(key)-1 bytes.
func (r *streamedBody) keepTail(p []byte) {
	size := max(len(r.key)-1, 0)
	joined := append(r.tail, p[max(0, len(p)-size):]...)
	r.tail = bytes.Clone(joined[max(0, len(joined)-size):])
}
