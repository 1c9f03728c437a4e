package clock

import "time"

// Time is a reading of one process's monotonic clock, as the time since that process started.
type Time time.Duration

// Add returns the reading d later.
func (t Time) Add(d time.Duration) Time {
	return t + Time(d)
}

// Sub returns the time from u to t.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t - u)
}

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool {
	return t < u
}

// Milliseconds returns the reading in whole milliseconds, rounded down.
func (t Time) Milliseconds() int64 {
	return time.Duration(t).Milliseconds()
}
