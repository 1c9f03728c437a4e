package clock

import "time"

// System reads the operating system's clock of the time since boot. Unlike the one behind time.Time, it also counts the
// time for which the machine was suspended: what ran out meanwhile, such as a grant or a deadline, must not be used when
// the machine continues.
type System struct {
	read  func() time.Duration
	start time.Duration
}

// NewSystem returns a clock that starts at zero.
func NewSystem() *System {
	return newSystem(source())
}

// newSystem returns a clock over a source that counts from any origin.
func newSystem(read func() time.Duration) *System {
	return &System{read: read, start: read()}
}

// Now implements Clock.
func (s *System) Now() Time {
	return Time(s.read() - s.start)
}

// monotonic returns a source that does not count suspended time.
func monotonic() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
