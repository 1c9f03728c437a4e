package slots

import (
	"math"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// floorShare is the share of a level's attempts that are started ahead of more urgent ones if none gets a slot otherwise,
	// as a part of the share of all attempts that is served. A level must be served at least a quarter as often as all. With
	// 0.15 the least urgent of three levels got 0.4 of that share in simulated loads, since some of its attempts find a slot
	// without the floor; with 0.35 it got half, at the cost of the urgent one.
	floorShare = 0.15
	// maxFloorCredit bounds the attempts that a level may start ahead of its turn after a time in which none of its attempts
	// was waiting.
	maxFloorCredit = 2
	// maxFloorDebt bounds the debt of a level that is served often, so that a shortage entitles it again within seconds. With
	// a bound of 1 chance alone entitled levels that were served well.
	maxFloorDebt = 2
	// waitingWeight is the weight of an attempt that waits, or would have waited, in the number of arrivals, since requests
	// that wait usually do so at two gates.
	waitingWeight = 0.5
)

// floor tracks which levels are served much less often than others. A level earns credit with each arrival, in proportion to the
// share of all attempts that is served, and spends it with each start.
type floor struct {
	at clock.Time
	// arrived and started are decayed numbers of attempts of all levels.
	arrived, started float64
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
	factor := math.Exp2(-now.Sub(f.at).Seconds() / demandHalfLife.Seconds())
	f.arrived, f.started, f.at = f.arrived*factor+weight, f.started*factor, now
	credit := &f.credit[d.level()]
	*credit = min(*credit+weight*floorShare*min(f.started/f.arrived, 1), maxFloorCredit)
}

// start records that an attempt got a slot.
func (f *floor) start(d Demand) {
	f.started++
	f.credit[d.level()] = max(f.credit[d.level()]-1, -maxFloorDebt)
}

// entitled returns the number of attempts that a level may start ahead of more urgent ones.
func (f *floor) entitled(level int) int {
	return max(int(f.credit[level]), 0)
}
