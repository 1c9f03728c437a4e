package hop

import (
	"io"
	"sync/atomic"
)

// Upload is a request body that is sent to a peer. The watchdog pauses while the upload waits for its source, so
// that a slow source is not mistaken for a stalled peer.
type Upload struct {
	source   io.Reader
	watchdog *Watchdog
	failed   atomic.Bool
}

// NewUpload returns an upload of source.
func NewUpload(source io.Reader, watchdog *Watchdog) *Upload {
	return &Upload{source: source, watchdog: watchdog}
}

// Read implements io.Reader.
func (u *Upload) Read(p []byte) (int, error) {
	u.watchdog.Pause()
	defer u.watchdog.Resume()
	n, err := u.source.Read(p)
	if err != nil && err != io.EOF {
		u.failed.Store(true)
	}
	return n, err
}

// Failed reports whether the source failed, so that a failed request is not attributed to the peer.
func (u *Upload) Failed() bool {
	return u != nil && u.failed.Load()
}
