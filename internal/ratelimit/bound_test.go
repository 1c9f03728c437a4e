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

// runRandom drives a simulation with random faults until the run ends or the bound
// is exceeded.
func runRandom(t *rapid.T, d defect) *simulation {
	s := newSimulation(rapid.Uint64().Draw(t, "seed"), drawLimit(t), d)
	daemon := func(t *rapid.T) *daemon { return s.owners[rapid.IntRange(0, hosts-1).Draw(t, "host")] }
	check := func(t *rapid.T) {
		if s.failure != "" {
			t.Fatal(s.failure)
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			var rates [hosts]int
			for i := range rates {
				rates[i] = rapid.SampledFrom([]int{0, 1, 20, 150}).Draw(t, "rate")
			}
			d := rapid.SampledFrom([]time.Duration{50, 300, 2500, 14000}).Draw(t, "ms")
			s.run(d*time.Millisecond, rates)
		},
		"network": func(t *rapid.T) {
			s.loss = rapid.SampledFrom([]float64{0, 0, 0.1, 0.9}).Draw(t, "loss")
			s.duplication = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "duplication")
			s.maxLatency = rapid.SampledFrom([]time.Duration{1, 20, 300, 4000}).Draw(t, "max latency") * time.Millisecond
		},
		"pause":   func(t *rapid.T) { daemon(t).paused = true },
		"resume":  func(t *rapid.T) { d := daemon(t); d.paused, d.isolated = false, false },
		"isolate": func(t *rapid.T) { daemon(t).isolated = true },
		"replace": func(t *rapid.T) {
			old := daemon(t)
			if len(s.daemons) < 12 {
				s.start(old.index, old.epoch+1)
			}
		},
		"resume replaced": func(t *rapid.T) {
			for _, d := range s.daemons {
				d.paused = d.paused && s.owners[d.index] == d
			}
		},
		"change": func(t *rapid.T) { s.change(drawLimit(t)) },
		"":       check,
	})
	return s
}

// TestBound guards against admissions above burst + rate*t over any window, with
// lost, delayed, duplicated and reordered messages, pauses, isolation, replaced
// processes, changes of the limit and of the number of homes, and drifting clocks.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runRandom(t, noDefect) })
}

// runScripted alternates steady load, under which entries prefetch tokens, with idle
// time and bursts. Then it replaces the process on host 0 under load while the old
// one stays alive.
func runScripted(seed uint64, d defect) *simulation {
	s := newSimulation(seed, ratelimit.NewLimit(20, 40), d)
	s.loss, s.duplication = 0.02, 0.05
	load := [hosts]int{60, 10, 40, 0, 20, 20}
	for range 4 {
		s.run(2*time.Second, [hosts]int{4: 8, 5: 8})
		s.run(time.Second, [hosts]int{})
		s.run(200*time.Millisecond, [hosts]int{200, 200, 200, 200, 200, 200})
		s.run(2*time.Second, [hosts]int{})
	}
	s.owners[0].isolated = true
	s.start(0, 2)
	s.run(20*time.Second, load)
	return s
}

// TestBoundNoticesFaults guards against a check that cannot fail: with each defect in
// turn, the check has to report an exceeded bound within 20 seeds. Without a defect
// it has to pass with all of them.
func TestBoundNoticesFaults(t *testing.T) {
	for defect, name := range map[defect]string{
		outstandingNotCounted: "outstanding grants not counted",
		epochStartsFull:       "new epoch starts full",
		epochWithoutFence:     "new epoch starts without the fence",
	} {
		failure, seed := "", uint64(0)
		for failure == "" && seed < 20 {
			seed++
			failure = runScripted(seed, defect).failure
		}
		if failure == "" {
			t.Errorf("%s: defect not detected", name)
		}
		t.Logf("%s: seed %d: %s", name, seed, failure)
	}
	for seed := range uint64(20) {
		s := runScripted(seed, noDefect)
		if s.failure != "" || s.admitted < 300 {
			t.Errorf("seed %d: admitted %d, %s", seed, s.admitted, s.failure)
		}
	}
}
