package link

import (
	"errors"
	"io"
	"sync"
)

// errSealed ends reads of a body that was not released before its attempt ended.
var errSealed = errors.New("attempt ended before its body was asked for")

// heldBody knows whether the gate asked for the body.
type heldBody struct {
	source io.Reader

	mu       sync.Mutex
	released bool
	sealed   bool
}

// Read implements io.Reader. net/http reads the body only after the gate asked for it.
func (h *heldBody) Read(p []byte) (int, error) {
	h.mu.Lock()
	if h.sealed && !h.released {
		h.mu.Unlock()
		return 0, errSealed
	}
	h.released = true
	h.mu.Unlock()
	return h.source.Read(p)
}

// Close implements io.Closer.
func (h *heldBody) Close() error {
	return nil
}

// seal keeps a body that was not released from being released. It reports whether it was released before.
func (h *heldBody) seal() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sealed = true
	return h.released
}
