package pause_test

import (
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/mesh/pause"
)

// run lets the process run for a time.
func run(now *clock.Fake, d *pause.Detector, long time.Duration) {
	for next := d.Tick(); long > 0; next = d.Tick() {
		step := min(next, long)
		now.Advance(step)
		long -= step
	}
}

// TestAge guards against requests that a process finds in its sockets after a pause and takes for new ones.
func TestAge(t *testing.T) {
	now := &clock.Fake{}
	now.Advance(time.Minute)
	d := pause.New(now)
	for range 20 {
		now.Advance(pause.Period)
		d.Tick()
	}
	if age := d.Age(); age != 0 {
		t.Fatalf("without a pause the age is %v", age)
	}
	now.Advance(12 * time.Second)
	if age := d.Age(); age != 12*time.Second {
		t.Fatalf("right after a pause of 12 s the age is %v", age)
	}
	run(now, d, 100*time.Millisecond)
	if age := d.Age(); age != 12100*time.Millisecond {
		t.Fatalf("100 ms after the pause the age is %v", age)
	}
	run(now, d, 200*time.Millisecond)
	if age := d.Age(); age != 0 {
		t.Fatalf("300 ms after the pause the age is %v", age)
	}
}

// TestAgeAfterTick checks that the pause is remembered if the timer runs before the first request is read.
func TestAgeAfterTick(t *testing.T) {
	now := &clock.Fake{}
	d := pause.New(now)
	now.Advance(4 * time.Second)
	d.Tick()
	now.Advance(10 * time.Millisecond)
	if age := d.Age(); age != 4010*time.Millisecond {
		t.Fatalf("the age is %v", age)
	}
}

// TestAgeAfterPausesInARow guards against requests that were sent before a first pause and are taken to be as old as a second
// one only, because the process ran between the two for too short a time to read them.
func TestAgeAfterPausesInARow(t *testing.T) {
	for _, c := range []struct {
		ran  time.Duration
		want time.Duration
	}{
		{0, 14 * time.Second},
		{100 * time.Millisecond, 14100 * time.Millisecond},
		{time.Second, 2 * time.Second},
	} {
		now := &clock.Fake{}
		d := pause.New(now)
		now.Advance(12 * time.Second)
		d.Tick()
		run(now, d, c.ran)
		now.Advance(2 * time.Second)
		if age := d.Age(); age != c.want {
			t.Errorf("after %v between two pauses the age is %v instead of %v", c.ran, age, c.want)
		}
	}
}

// TestAgeAfterManyPauses checks that a series of pauses counts from its beginning, and only as long as it lasts.
func TestAgeAfterManyPauses(t *testing.T) {
	now := &clock.Fake{}
	d := pause.New(now)
	for n := range 8 {
		now.Advance(4 * time.Second)
		if age, want := d.Age(), time.Duration(n+1)*4*time.Second; age != want {
			t.Fatalf("after pause %d the age is %v instead of %v", n, age, want)
		}
	}
	run(now, d, 300*time.Millisecond)
	if age := d.Age(); age != 0 {
		t.Fatalf("300 ms after the last pause the age is %v", age)
	}
}

// TestAgeAfterShortPause guards against requests that were sent before a long pause and are taken for new ones, because a short
// pause followed it at once: the time for reading them passed while the process did not run.
func TestAgeAfterShortPause(t *testing.T) {
	now := &clock.Fake{}
	d := pause.New(now)
	now.Advance(12 * time.Second)
	run(now, d, 14*time.Millisecond)
	now.Advance(264 * time.Millisecond)
	if age, want := d.Age(), 12278*time.Millisecond; age != want {
		t.Fatalf("after the short pause the age is %v instead of %v", age, want)
	}
	run(now, d, 100*time.Millisecond)
	now.Advance(time.Second)
	if age, want := d.Age(), 13378*time.Millisecond; age != want {
		t.Fatalf("after another short pause the age is %v instead of %v", age, want)
	}
	run(now, d, 300*time.Millisecond)
	if age := d.Age(); age != 0 {
		t.Fatalf("after 300 ms of running the age is %v", age)
	}
}
