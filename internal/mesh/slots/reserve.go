package slots

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// nestedHalfLife is the time in which earlier nested work loses half of its weight in the estimate of their load.
	nestedHalfLife = 4 * time.Second
	// refusedWeight is the weight of the work of a refused attempt, which is usually made at about three gates.
	refusedWeight = 0.34
	// reserveFactor is applied to the slots that nested attempts use on average, since they come in clusters.
	reserveFactor = 1.5
	// maxReserveShare bounds the slots that are kept for nested attempts.
	maxReserveShare = 0.34
)

// nestedLoad estimates how many slots nested attempts use.
type nestedLoad struct {
	// work is the slot time that nested attempts asked for lately, in seconds, decayed.
	work float64
	at   clock.Time
}

// settle lets the estimate fade up to now.
func (n *nestedLoad) settle(now clock.Time) {
	n.work *= math.Exp2(-now.Sub(n.at).Seconds() / nestedHalfLife.Seconds())
	n.at = now
}

// add records a nested attempt that is expected to take a time, or a part of one that was refused: attempts that find
// no slot are the reason to keep more.
func (n *nestedLoad) add(now clock.Time, expected time.Duration, refused bool) {
	n.settle(now)
	if refused {
		n.work += refusedWeight * expected.Seconds()
		return
	}
	n.work += expected.Seconds()
}

// reserve returns the number of slots that are kept free of other attempts, so that work that takes seconds does not
// hold up work that other targets wait for.
func (n *nestedLoad) reserve(now clock.Time, slots int) int {
	n.settle(now)
	average := n.work * math.Ln2 / nestedHalfLife.Seconds()
	wanted := math.Round(reserveFactor * average)
	return int(min(wanted, math.Floor(maxReserveShare*float64(slots))))
}
