package locality_test

import (
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/mesh/locality"
)

const start = clock.Time(time.Hour)

// full feeds a decider for some time with attempts that find no room inside, of which those that leave find room as told
// by outside, and returns the time after it. Ten attempts a second arrive.
func full(d *locality.Decider, now clock.Time, length, wait, patience time.Duration, outside func(i int) bool) clock.Time {
	left := 0.0
	for i := range int(length / (100 * time.Millisecond)) {
		now = now.Add(100 * time.Millisecond)
		d.Asked(now, false, false, wait)
		d.NoRoom(now, patience)
		if left += d.Share(now); left >= 1 {
			left--
			d.Asked(now, true, outside(i), wait)
		}
	}
	return now
}

// Guards against attempts that wait inside although the domain is short of room and there is room outside.
func TestLeavesForRoom(t *testing.T) {
	d := locality.New(start)
	if d.Share(start) != 1 {
		t.Fatal("does not leave without observations")
	}
	now := full(d, start, 3*time.Second, 500*time.Millisecond, 100*time.Millisecond, func(int) bool { return false })
	if got := d.Share(now); got > 0.2 {
		t.Fatalf("share %.2f without room outside", got)
	}
	if got := d.Bound(now, 100*time.Millisecond); got < 400*time.Millisecond {
		t.Fatalf("leaves after %v though there is no room outside", got)
	}
	now = full(d, now, 10*time.Second, 500*time.Millisecond, 100*time.Millisecond, func(int) bool { return true })
	if got := d.Share(now); got != 1 {
		t.Fatalf("share %.2f with room outside", got)
	}
	if got := d.Bound(now, 100*time.Millisecond); got > 200*time.Millisecond {
		t.Fatalf("waits for %v though there is room outside", got)
	}
}

// Guards against attempts that leave though the wait inside costs callers nothing.
func TestStaysForShortWaits(t *testing.T) {
	d := locality.New(start)
	now := full(d, start, 3*time.Second, 50*time.Millisecond, 100*time.Millisecond, func(int) bool { return true })
	if got := d.Share(now); got != locality.MinShare {
		t.Fatalf("share %.2f", got)
	}
}

// Guards against a share that swings to and fro where gain and cost are about equal.
func TestSteadyNearEquality(t *testing.T) {
	d := locality.New(start)
	now := full(d, start, 5*time.Second, 120*time.Millisecond, 100*time.Millisecond, func(int) bool { return true })
	before, changes := d.Share(now), 0
	for i := range 100 {
		wait := 110 * time.Millisecond
		if i%2 == 0 {
			wait = 135 * time.Millisecond
		}
		now = full(d, now, 100*time.Millisecond, wait, 100*time.Millisecond, func(int) bool { return true })
		if d.Share(now) != before {
			changes++
			before = d.Share(now)
		}
	}
	if changes > 2 {
		t.Fatalf("%d changes", changes)
	}
}

// Guards against decisions by news that are out of date, and against a jump to all at once.
func TestForgets(t *testing.T) {
	d := locality.New(start)
	now := full(d, start, 5*time.Second, 500*time.Millisecond, 100*time.Millisecond, func(int) bool { return false })
	low := d.Share(now)
	now = now.Add(500 * time.Millisecond)
	if got := d.Share(now); got > low+0.3 {
		t.Fatalf("share jumps from %.2f to %.2f", low, got)
	}
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		d.Share(now)
	}
	if got := d.Share(now); got != 1 {
		t.Fatalf("share %.2f long after the last news", got)
	}
}

// Guards against leaving for gates with room whose targets decline what they get.
func TestDeclinedIsNoRoom(t *testing.T) {
	d := locality.New(start)
	now := start
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		d.Asked(now, false, false, 500*time.Millisecond)
		d.Asked(now, true, true, 0)
		d.Declined(now)
	}
	if got := d.Share(now); got != locality.MinShare {
		t.Fatalf("share %.2f", got)
	}
}

// Guards against leaving for gates that are as full, and against staying where the wait outside is much shorter.
func TestComparesWaits(t *testing.T) {
	for outside, leaves := range map[time.Duration]bool{4 * time.Second: false, time.Second: true} {
		d := locality.New(start)
		now := start
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			d.Asked(now, false, false, 4*time.Second)
			d.NoRoom(now, time.Second)
			d.Asked(now, true, false, outside)
		}
		if got := d.Share(now); (got == 1) != leaves || (got == locality.MinShare) == leaves {
			t.Errorf("wait of %v outside: share %.2f", outside, got)
		}
	}
}
