package clock

import "time"

// Time is a reading of a monotonic clock, as the time since that clock was created.
type Time time.Duration

// Add returns t+d.
func (t Time) Add(d time.Duration) Time {
	return t + Time(d)
}

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t - u)
}

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool {
	return t < u
}

// Milliseconds returns the reading truncated to whole milliseconds.
func (t Time) Milliseconds() int64 {
	return time.Duration(t).Milliseconds()
}
