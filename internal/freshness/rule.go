package freshness

import (
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// Window is the time for which evidence keeps a daemon fresh.
const Window = 10 * time.Second

// Evaluate derives the verdict from the evidence at now. The cost is linear in the roster, so call
// it after exchanges and reads and keep the verdict.
func Evaluate(roster []id.HostID, evidence Evidence, now clock.Time) Verdict {
	v := Verdict{}
	if at, ok := evidence.PlatformReadAt(); ok {
		v = Verdict{Until: at.Add(Window), Basis: PlatformRead}
	}
	if at, ok := majorityAt(roster, evidence, now); ok && (v.Basis == None || v.Until.Before(at.Add(Window))) {
		v = Verdict{Until: at.Add(Window), Basis: Majority}
	}
	invariant.Check(v.Basis == None || v.Until.Sub(now) <= Window, "fresh-evidence-in-the-past",
		"fresh until %v at %v", v.Until, now)
	return v
}

// majorityAt returns the latest time since which there are heartbeats from more than half of the roster.
func majorityAt(roster []id.HostID, evidence Evidence, now clock.Time) (clock.Time, bool) {
	needed := len(roster)/2 + 1
	times := make([]clock.Time, 0, len(roster))
	for _, host := range roster {
		if at, ok := evidence.CoveredAt(host, now); ok {
			times = append(times, at)
		}
	}
	if len(times) < needed {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-needed], true
}
