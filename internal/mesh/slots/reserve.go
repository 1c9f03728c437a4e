package slots

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// nestedHalfLife is the half-life of earlier nested work in the load estimate.
	nestedHalfLife = 4 * time.Second
	// refusedWeight is the weight of the work of a refused attempt, which is usually tried at about three gates.
	refusedWeight = 0.34
	// reserveFactor is applied to the number of slots that nested attempts use on average, because they arrive in bursts.
	reserveFactor = 1.5
	// maxReserveShare bounds the share of the slots that is reserved for nested attempts.
	maxReserveShare = 0.34
)

// nestedLoad estimates how many slots nested attempts use.
type nestedLoad struct {
	// work is the decayed sum of the slot time that nested attempts requested, in seconds.
	work float64
	at   clock.Time
}

// decay lets the estimate decay up to now.
func (n *nestedLoad) decay(now clock.Time) {
	n.work *= math.Exp2(-now.Sub(n.at).Seconds() / nestedHalfLife.Seconds())
	n.at = now
}

// add records the expected duration of a nested attempt, or a part of it if the attempt was refused: attempts that find
// no slot are the reason to reserve more.
func (n *nestedLoad) add(now clock.Time, expected time.Duration, refused bool) {
	n.decay(now)
	if refused {
		n.work += refusedWeight * expected.Seconds()
		return
	}
	n.work += expected.Seconds()
}

// reserve returns the number of slots that are reserved for nested attempts, so that work that takes seconds does not
// hold up work that other targets wait for.
func (n *nestedLoad) reserve(now clock.Time, slots int) int {
	n.decay(now)
	average := n.work * math.Ln2 / nestedHalfLife.Seconds()
	wanted := math.Round(reserveFactor * average)
	return int(min(wanted, math.Floor(maxReserveShare*float64(slots))))
}
