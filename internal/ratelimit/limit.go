package ratelimit

import "math"

// MaxHomes is the largest number of homes of one customer.
const MaxHomes = 4

// Limit is a rate with a burst.
type Limit struct {
	// Rate is in micro-tokens per second.
	Rate Micro
	// Burst is the capacity in whole tokens.
	Burst int
}

// NewLimit returns the limit for a catalogue entry's rate in requests per
// second and its burst in requests. Negative values count as zero.
func NewLimit(ratePerSecond float64, burst int) Limit {
	rate := math.Floor(ratePerSecond * float64(Token))
	if !(rate > 0) {
		rate = 0
	}
	const highest = 1 << 52
	return Limit{Rate: Micro(min(rate, highest)), Burst: max(burst, 0)}
}

// HomeCount returns the number of homes over which the limit is split: every
// home's share holds at least two tokens when there is more than one home.
func (l Limit) HomeCount() int {
	return min(max(l.Burst/2, 1), MaxHomes)
}

// Part returns part index (from zero) of the limit split over homes parts.
// The parts add up to the limit exactly. Each part grows or stays when the
// limit grows, so parts of an old and a new limit never add up to more than
// the parts of the larger one.
func (l Limit) Part(index, homes int) Limit {
	return Limit{
		Rate:  (l.Rate + Micro(homes-1-index)) / Micro(homes),
		Burst: (l.Burst + homes - 1 - index) / homes,
	}
}

// capacity returns the burst in micro-tokens.
func (l Limit) capacity() Micro {
	return tokens(l.Burst)
}

// lower returns the smaller rate with the smaller burst.
func (l Limit) lower(other Limit) Limit {
	return Limit{Rate: min(l.Rate, other.Rate), Burst: min(l.Burst, other.Burst)}
}
