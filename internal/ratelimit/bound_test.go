package ratelimit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// drawLimit draws limits around the sizes at which the number of homes changes.
func drawLimit(t *rapid.T) ratelimit.Limit {
	rate := rapid.SampledFrom([]float64{0.5, 3, 10, 37.3, 100}).Draw(t, "rate")
	return ratelimit.NewLimit(rate, rapid.IntRange(1, 14).Draw(t, "burst"))
}

// exercise drives a world with every fault until the run ends or the bound breaks.
func exercise(t *rapid.T, weakness weakness) *world {
	w := newWorld(rapid.Uint64().Draw(t, "seed"), drawLimit(t), weakness)
	daemon := func(t *rapid.T) *daemon { return w.owners[rapid.IntRange(0, hosts-1).Draw(t, "host")] }
	check := func(t *rapid.T) {
		if w.failure != "" {
			t.Fatal(w.failure)
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			var rates [hosts]int
			for i := range rates {
				rates[i] = rapid.SampledFrom([]int{0, 1, 20, 150}).Draw(t, "rate")
			}
			d := rapid.SampledFrom([]time.Duration{50, 300, 2500, 14000}).Draw(t, "ms")
			w.run(d*time.Millisecond, rates)
		},
		"network": func(t *rapid.T) {
			w.loss = rapid.SampledFrom([]float64{0, 0, 0.1, 0.9}).Draw(t, "loss")
			w.repeat = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "repeat")
			w.slowest = rapid.SampledFrom([]time.Duration{1, 20, 300, 4000}).Draw(t, "slowest") * time.Millisecond
		},
		"pause":   func(t *rapid.T) { daemon(t).paused = true },
		"resume":  func(t *rapid.T) { d := daemon(t); d.paused, d.isolated = false, false },
		"isolate": func(t *rapid.T) { daemon(t).isolated = true },
		"replace": func(t *rapid.T) {
			old := daemon(t)
			if len(w.daemons) < 12 {
				w.start(old.index, old.epoch+1)
			}
		},
		"resume replaced": func(t *rapid.T) {
			for _, d := range w.daemons {
				d.paused = d.paused && w.owners[d.index] == d
			}
		},
		"change": func(t *rapid.T) { w.change(drawLimit(t)) },
		"":       check,
	})
	return w
}

// TestBound guards against admissions above burst + rate*t over any window, with
// lost, late, repeated and reordered messages, pauses, isolation, replaced
// processes, changes of the limit and of the number of homes, and drifting clocks.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { exercise(t, none) })
}

// scripted alternates steady load, in which entries hold tokens in advance, with
// idle time and bursts. Then it replaces a process on host 0 under load while
// the old one stays alive.
func scripted(seed uint64, weakness weakness) *world {
	w := newWorld(seed, ratelimit.NewLimit(20, 40), weakness)
	w.loss, w.repeat = 0.02, 0.05
	load := [hosts]int{60, 10, 40, 0, 20, 20}
	for range 4 {
		w.run(2*time.Second, [hosts]int{4: 8, 5: 8})
		w.run(time.Second, [hosts]int{})
		w.run(200*time.Millisecond, [hosts]int{200, 200, 200, 200, 200, 200})
		w.run(2*time.Second, [hosts]int{})
	}
	w.owners[0].isolated = true
	w.start(0, 2)
	w.run(20*time.Second, load)
	return w
}

// TestBoundNoticesFaults guards against a check that passes whatever happens:
// each mechanism is left out in turn and the check has to fail.
func TestBoundNoticesFaults(t *testing.T) {
	for weakness, name := range map[weakness]string{
		outstandingForgotten: "outstanding grants not counted",
		epochStartsFull:      "new epoch starts full",
		epochWithoutFence:    "new epoch starts without the fence",
	} {
		failure, seed := "", uint64(0)
		for failure == "" && seed < 20 {
			seed++
			failure = scripted(seed, weakness).failure
		}
		if failure == "" {
			t.Errorf("%s: not noticed", name)
		}
		t.Logf("%s: seed %d: %s", name, seed, failure)
	}
	for seed := range uint64(20) {
		w := scripted(seed, none)
		if w.failure != "" || w.admitted < 300 {
			t.Errorf("seed %d: admitted %d, %s", seed, w.admitted, w.failure)
		}
	}
}
