package hop

import (
	"io"
	"sync/atomic"
)

// Upload reads a request body for a peer. A slow sender is not silence of the peer, so the watch pauses while
// the upload waits for its source.
type Upload struct {
	source io.Reader
	watch  *Watch
	failed atomic.Bool
}

// NewUpload returns an upload of source.
func NewUpload(source io.Reader, watch *Watch) *Upload {
	return &Upload{source: source, watch: watch}
}

// Read implements io.Reader.
func (u *Upload) Read(p []byte) (int, error) {
	u.watch.Pause()
	defer u.watch.Resume()
	n, err := u.source.Read(p)
	if err != nil && err != io.EOF {
		u.failed.Store(true)
	}
	return n, err
}

// Failed reports whether the source failed, so that a broken request is not blamed on the peer.
func (u *Upload) Failed() bool {
	return u != nil && u.failed.Load()
}
