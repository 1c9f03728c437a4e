package clock

import "time"

// System reads the operating system's monotonic clock.
type System struct {
	start time.Time
}

// NewSystem returns a clock that starts at zero.
func NewSystem() *System {
	return &System{start: time.Now()}
}

// Now implements Clock.
func (s *System) Now() Time {
	return Time(time.Since(s.start))
}
