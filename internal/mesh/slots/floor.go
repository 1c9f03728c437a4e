package slots

import (
	"math"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// floorShare is the share of a level's attempts that are started ahead of more urgent ones if none gets a slot otherwise, as a
	// part of the share of all attempts that is served: a level must be served at least a quarter as often as all. With 0.15
	// and a debt of 2, a level was starved in 9 of 56 simulated loads, with these values in 1, and without a floor in 12.
	floorShare = 0.25
	// maxFloorCredit bounds the attempts that a level may start ahead of its turn after a time in which none of its attempts
	// was waiting.
	maxFloorCredit = 2
	// maxFloorDebt bounds the debt of a level that is served often, so that a shortage entitles it again within seconds: with 3, and
	// without wellServed, a level was starved in 6 of the simulated loads.
	maxFloorDebt = 1
	// wellServed is the share of a level's attempts from which it is not entitled to any, as a part of the share of all. It leaves
	// a margin above a quarter for what differs between gates. Without this bound, credit that the least urgent level had gathered
	// by chance cost urgent requests 0.04 of their answers in time.
	wellServed = 0.4
	// waitingWeight is the weight of an attempt that waits, or would have waited, in the number of arrivals, since requests
	// that wait usually do so at two gates.
	waitingWeight = 0.5
)

// floor tracks which levels are served much less often than others. A level earns credit with each arrival, in proportion to the
// share of all attempts that is served, and spends it with each start.
type floor struct {
	at clock.Time
	// arrived and started are decayed numbers of attempts of each level.
	arrived, started [levels]float64
	credit           [levels]float64
}

// arrive records an arrival and what became of it. Attempts that do not wait are not counted unless they run, since their
// requests go on to another gate.
func (f *floor) arrive(now clock.Time, d Demand, kind Kind) {
	weight := 1.0
	if kind != Run {
		weight = waitingWeight
		if d.MaxQueueWait <= 0 {
			return
		}
	}
	if now != f.at {
		factor := math.Exp2(-now.Sub(f.at).Seconds() / demandHalfLife.Seconds())
		for i := range f.arrived {
			f.arrived[i] *= factor
			f.started[i] *= factor
		}
		f.at = now
	}
	f.arrived[d.level()] += weight
	arrived, started := f.sums()
	credit := &f.credit[d.level()]
	*credit = min(*credit+weight*floorShare*min(started/arrived, 1), maxFloorCredit)
}

// sums returns the numbers of attempts of all levels.
func (f *floor) sums() (arrived, started float64) {
	for i := range f.arrived {
		arrived += f.arrived[i]
		started += f.started[i]
	}
	return arrived, started
}

// start records that an attempt got a slot.
func (f *floor) start(d Demand) {
	f.started[d.level()]++
	f.credit[d.level()] = max(f.credit[d.level()]-1, -maxFloorDebt)
}

// entitled returns the number of attempts that a level may start ahead of more urgent ones: none if it has recently been served
// well enough, whatever credit has gathered by chance.
func (f *floor) entitled(level int) int {
	if f.credit[level] < 1 {
		return 0
	}
	arrived, started := f.sums()
	if f.started[level]*arrived >= wellServed*f.arrived[level]*started {
		return 0
	}
	return int(f.credit[level])
}
