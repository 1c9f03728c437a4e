package hop

import (
	"sync"
	"time"
)

// Watchdog calls a function when a peer makes no progress for a time limit. It is paused while this side waits for
// something else, so that a slow caller is not mistaken for a stalled peer.
type Watchdog struct {
	mu     sync.Mutex
	limit  time.Duration
	pauses int
	timer  *time.Timer
}

// NewWatchdog returns a running watchdog. onStall is called at most once after each start of the limit, on its own
// goroutine.
func NewWatchdog(limit time.Duration, onStall func()) *Watchdog {
	w := &Watchdog{limit: limit}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, func() {
		if w.running() {
			onStall()
		}
	})
	return w
}

// Progress restarts the limit unless the watchdog is paused.
func (w *Watchdog) Progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pauses == 0 {
		w.timer.Reset(w.limit)
	}
}

// Pause suspends the watchdog until the matching Resume.
func (w *Watchdog) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pauses++
	w.timer.Stop()
}

// Resume ends one Pause. The watchdog restarts the limit when no Pause is left.
func (w *Watchdog) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pauses--
	if w.pauses == 0 {
		w.timer.Reset(w.limit)
	}
}

// SetLimit changes the limit from the next restart on.
func (w *Watchdog) SetLimit(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit
}

// Stop stops the watchdog permanently.
func (w *Watchdog) Stop() {
	w.Pause()
}

// running reports whether the watchdog is not paused.
func (w *Watchdog) running() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pauses == 0
}
