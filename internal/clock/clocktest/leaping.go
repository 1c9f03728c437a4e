// Package clocktest provides clocks for tests.
package clocktest

import (
	"sync/atomic"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// Leaping is the system's clock, which leaps when a test plays a suspension of the machine: the timers of the runtime do
// not count that time. It is safe for concurrent use.
type Leaping struct {
	system *clock.System
	leaps  atomic.Int64
}

// NewLeaping returns a clock that has not leapt.
func NewLeaping() *Leaping {
	return &Leaping{system: clock.NewSystem()}
}

// Now implements clock.Clock.
func (l *Leaping) Now() clock.Time {
	return l.system.Now().Add(time.Duration(l.leaps.Load()))
}

// Leap plays a suspension.
func (l *Leaping) Leap(d time.Duration) {
	l.leaps.Add(int64(d))
}
