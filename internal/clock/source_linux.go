package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// source returns the time since the machine was started, suspended time included.
func source() func() time.Duration {
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &unix.Timespec{}) != nil {
		return monotonic()
	}
	return func() time.Duration {
		var now unix.Timespec
		// It cannot fail with a clock that exists and a valid address.
		_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
		return time.Duration(now.Nano())
	}
}
