package link

import (
	"errors"
	"io"
	"sync"
)

// errNotReleased is returned by reads of a body whose attempt ended before the body was released.
var errNotReleased = errors.New("attempt ended before the gate requested its body")

// heldBody is a request body that records whether it was released, that is, whether the gate requested it.
type heldBody struct {
	body   *Body
	source io.Reader
	// mayRelease is asked before the release; nil permits it.
	mayRelease func() bool

	mu        sync.Mutex
	released  bool
	cancelled bool
}

// Read implements io.Reader. net/http reads the body only after the gate requested it with 100 Continue.
func (h *heldBody) Read(p []byte) (int, error) {
	h.mu.Lock()
	if !h.released && (h.cancelled || (h.mayRelease != nil && !h.mayRelease())) {
		h.mu.Unlock()
		return 0, errNotReleased
	}
	if !h.released {
		h.released = true
		h.body.MarkSent()
	}
	h.mu.Unlock()
	return h.source.Read(p)
}

// Close implements io.Closer; the source stays open.
func (h *heldBody) Close() error {
	return nil
}

// cancel prevents a later release and reports whether the body was released before.
func (h *heldBody) cancel() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelled = true
	return h.released
}
