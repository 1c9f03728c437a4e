package ownership

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// fence waits until a majority of each of several rosters has acknowledged a change,
// and then for FenceDuration.
type fence struct {
	acknowledged map[id.HostID]struct{}
	// majorityReached is set once every roster has a majority; reachedAt is when.
	majorityReached bool
	reachedAt       clock.Time
	// waived is set when no earlier holder can still act, so that no wait is needed.
	waived bool
}

// passed reports whether earlier holders can no longer act.
func (f *fence) passed(now clock.Time) bool {
	return f.waived || (f.majorityReached && now.Sub(f.reachedAt) >= FenceDuration)
}

// acknowledge records the acknowledgement of a host.
func (f *fence) acknowledge(from id.HostID, rosters []Roster, now clock.Time) {
	if f.acknowledged == nil {
		f.acknowledged = map[id.HostID]struct{}{}
	}
	f.acknowledged[from] = struct{}{}
	f.evaluate(rosters, now)
}

// evaluate starts FenceDuration once every roster has a majority.
func (f *fence) evaluate(rosters []Roster, now clock.Time) {
	if f.majorityReached || len(rosters) == 0 {
		return
	}
	for _, r := range rosters {
		if !f.hasMajority(r) {
			return
		}
	}
	f.majorityReached, f.reachedAt = true, now
}

// hasMajority reports whether more than half of a roster's members have acknowledged.
func (f *fence) hasMajority(r Roster) bool {
	n := 0
	for _, m := range r.Members {
		if _, ok := f.acknowledged[m.Host]; ok {
			n++
		}
	}
	return n >= r.Majority()
}
