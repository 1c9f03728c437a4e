package ownership

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// fence waits for acknowledgements by a majority of several rosters and then
// for the term of Fence.
type fence struct {
	acknowledged map[id.HostID]struct{}
	// majority is set at the time at which the last majority was reached.
	majority bool
	since    clock.Time
	// inherited is set when no wait is needed.
	inherited bool
}

// passed reports whether earlier holders can no longer act.
func (f *fence) passed(now clock.Time) bool {
	return f.inherited || (f.majority && now.Sub(f.since) >= Fence)
}

// acknowledge counts a host.
func (f *fence) acknowledge(from id.HostID, rosters []Roster, now clock.Time) {
	if f.acknowledged == nil {
		f.acknowledged = map[id.HostID]struct{}{}
	}
	f.acknowledged[from] = struct{}{}
	f.evaluate(rosters, now)
}

// evaluate starts the term once every roster has a majority.
func (f *fence) evaluate(rosters []Roster, now clock.Time) {
	if f.majority || len(rosters) == 0 {
		return
	}
	for _, r := range rosters {
		if !f.hasMajority(r) {
			return
		}
	}
	f.majority, f.since = true, now
}

// hasMajority reports whether more than half of a roster acknowledged.
func (f *fence) hasMajority(r Roster) bool {
	n := 0
	for _, m := range r.Members {
		if _, ok := f.acknowledged[m.Host]; ok {
			n++
		}
	}
	return n >= r.Majority()
}
