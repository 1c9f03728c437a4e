package slots

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// nestedHalfLife is the time in which earlier nested work loses half of its weight in the estimate of their load.
	nestedHalfLife = 4 * time.Second
	// reserveFactor is applied to the slots that nested attempts use on average, since they come in clusters.
	reserveFactor = 1.5
	// maxReserveShare bounds the slots that are kept for nested attempts.
	maxReserveShare = 0.34
)

// nestedLoad estimates how many slots nested attempts use.
type nestedLoad struct {
	// work is the recent slot time of nested attempts in seconds, decayed.
	work float64
	at   clock.Time
}

// settle lets the estimate fade up to now.
func (n *nestedLoad) settle(now clock.Time) {
	n.work *= math.Exp2(-now.Sub(n.at).Seconds() / nestedHalfLife.Seconds())
	n.at = now
}

// add records a nested attempt that took a time.
func (n *nestedLoad) add(now clock.Time, took time.Duration) {
	n.settle(now)
	n.work += took.Seconds()
}

// reserve returns the number of slots that are kept free of other attempts, so that work that takes seconds does not
// hold up work that other targets wait for.
func (n *nestedLoad) reserve(now clock.Time, slots int) int {
	n.settle(now)
	average := n.work * math.Ln2 / nestedHalfLife.Seconds()
	wanted := math.Round(reserveFactor * average)
	return int(min(wanted, math.Floor(maxReserveShare*float64(slots))))
}
