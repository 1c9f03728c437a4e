//go:build !linux

package clock

import "time"

// source returns monotonic time: there is no portable clock that counts suspended time.
func source() func() time.Duration { return monotonic() }
