package clock

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestSystemCountsSuspension guards against permissions that are used after the machine was suspended for longer than
// they were valid. No test can suspend the machine, so that the clock is compared with the kernel's.
func TestSystemCountsSuspension(t *testing.T) {
	read := func() time.Duration {
		var now unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
			t.Skipf("no clock that counts suspended time: %v", err)
		}
		return time.Duration(now.Nano())
	}
	before := read()
	got := source()()
	if after := read(); got < before || got > after {
		t.Fatalf("the source reads %v, the time since boot is %v to %v", got, before, after)
	}
}

// TestSystemStartsAtZero drives the clock by a source that leaps, as at the end of a suspension.
func TestSystemStartsAtZero(t *testing.T) {
	now := time.Hour
	s := newSystem(func() time.Duration { return now })
	if s.Now() != 0 {
		t.Fatalf("a new clock reads %v", s.Now())
	}
	now += 12 * time.Second
	if s.Now() != Time(12*time.Second) {
		t.Fatalf("after 12 s the clock reads %v", s.Now())
	}
}
