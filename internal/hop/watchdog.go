package hop

import (
	"sync"
	"time"
)

// Watch calls a function when the other end makes no progress for a limit. It is paused while this end waits
// for somebody else, so that a slow caller is not taken for a silent peer.
type Watch struct {
	mu    sync.Mutex
	limit time.Duration
	holds int
	timer *time.Timer
}

// NewWatch returns a running watch. silent is called at most once after each start, on its own goroutine.
func NewWatch(limit time.Duration, silent func()) *Watch {
	w := &Watch{limit: limit}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, func() {
		if w.running() {
			silent()
		}
	})
	return w
}

// Progress restarts the limit.
func (w *Watch) Progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.holds == 0 {
		w.timer.Reset(w.limit)
	}
}

// Pause suspends the watch until the matching Resume.
func (w *Watch) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holds++
	w.timer.Stop()
}

// Resume ends one Pause; the last one restarts the limit.
func (w *Watch) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holds--
	if w.holds == 0 {
		w.timer.Reset(w.limit)
	}
}

// SetLimit changes the limit for the following starts.
func (w *Watch) SetLimit(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit
}

// Stop ends the watch for good.
func (w *Watch) Stop() {
	w.Pause()
}

// running reports whether the watch is not paused.
func (w *Watch) running() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holds == 0
}
