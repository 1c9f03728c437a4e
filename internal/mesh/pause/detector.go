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
	// backlogTime is for how long the process must have run after a pause to have read what arrived during it.
	backlogTime = 250 * time.Millisecond
	// backlogPeriod is the period at which Tick must be called within that time, maxRun the longest time between two signs of
	// life that counts as running. A pause that is too short to be one by itself does not use up backlogTime.
	backlogPeriod = 25 * time.Millisecond
	maxRun        = 2 * backlogPeriod
)

// Detector notices pauses of the process. It is safe for concurrent use.
type Detector struct {
	clock clock.Clock

	mu sync.Mutex
	// alive is when the process last showed that it runs.
	alive clock.Time
	// paused is set once there was a pause, and began tells when. Pauses between which the process ran for less than
	// backlogTime count as one, since what arrived during the first one may still be unread.
	paused bool
	began  clock.Time
	// ran is for how long the process has run since the end of the pause, as far as that is known.
	ran time.Duration
}

// New returns a detector.
func New(c clock.Clock) *Detector {
	return &Detector{clock: c, alive: c.Now()}
}

// Tick shows that the process runs. It returns when it must be called again.
func (d *Detector) Tick() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe()
	if d.inBacklog() {
		return backlogPeriod
	}
	return Period
}

// Age returns how long ago something may have arrived that was just read: as long as the pause began if there was one, and
// zero otherwise.
func (d *Detector) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.observe()
	if !d.inBacklog() {
		return 0
	}
	return now.Sub(d.began)
}

// inBacklog reports whether the process may still be reading what arrived during a pause. The caller must hold d.mu.
func (d *Detector) inBacklog() bool {
	return d.paused && d.ran < backlogTime
}

// observe notices a pause that has just ended, and returns the current time. The caller must hold d.mu.
func (d *Detector) observe() clock.Time {
	now := d.clock.Now()
	gap := now.Sub(d.alive)
	switch {
	case gap >= minPause:
		if !d.inBacklog() {
			d.began = d.alive
		}
		d.paused, d.ran = true, 0
	case d.inBacklog():
		d.ran += min(gap, maxRun)
	}
	d.alive = now
	return now
}
