package pause

import (
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// Period is the period at which Tick must be called.
	Period = 500 * time.Millisecond
	// minPause is the time without a sign of life from which the process counts as paused. It is several periods, because
	// a busy host delays timers.
	minPause = 3 * Period
	// backlogTime is how long after a pause the process may still be reading what arrived during it.
	backlogTime = 250 * time.Millisecond
)

// Detector notices pauses of the process. It is safe for concurrent use.
type Detector struct {
	clock clock.Clock

	mu sync.Mutex
	// alive is when the process last showed that it runs.
	alive clock.Time
	// began and ended tell the last pause; ended is zero before the first one. Pauses between which the process ran for less
	// than backlogTime count as one, since what arrived during the first one may still be unread.
	began, ended clock.Time
}

// New returns a detector.
func New(c clock.Clock) *Detector {
	return &Detector{clock: c, alive: c.Now()}
}

// Tick shows that the process runs.
func (d *Detector) Tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe()
}

// Age returns how long ago something may have arrived that was just read: as long as the pause began if there was one, and
// zero otherwise.
func (d *Detector) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.observe()
	if d.ended == 0 || now.Sub(d.ended) >= backlogTime {
		return 0
	}
	return now.Sub(d.began)
}

// observe notices a pause that has just ended, and returns the current time. The caller must hold d.mu.
func (d *Detector) observe() clock.Time {
	now := d.clock.Now()
	if now.Sub(d.alive) >= minPause {
		if d.ended == 0 || d.alive.Sub(d.ended) >= backlogTime {
			d.began = d.alive
		}
		d.ended = now
	}
	d.alive = now
	return now
}
