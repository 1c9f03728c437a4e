package ratelimit

import "math"

// MaxHomes is the largest number of homes of one customer.
const MaxHomes = 4

// Limit is a rate and a burst.
type Limit struct {
	// Rate is in micro-tokens per second.
	Rate MicroTokens
	// Burst is the capacity in whole tokens.
	Burst int
}

// NewLimit returns the limit for a rate in requests per second and a burst in
// requests. Negative values and a rate that is NaN count as zero.
func NewLimit(ratePerSecond float64, burst int) Limit {
	rate := math.Floor(ratePerSecond * float64(Token))
	if !(rate > 0) {
		rate = 0
	}
	const highest = 1 << 52
	return Limit{Rate: MicroTokens(min(rate, highest)), Burst: max(burst, 0)}
}

// HomeCount returns the number of homes over which the limit is split. With more
// than one home, every share has a burst of at least two tokens.
func (l Limit) HomeCount() int {
	return min(max(l.Burst/2, 1), MaxHomes)
}

// Part returns part index (from zero) of the limit split into homes parts. The
// parts add up to the limit exactly. No part shrinks when the limit grows, so a
// mix of parts of an old and a new limit never exceeds the larger limit.
func (l Limit) Part(index, homes int) Limit {
	return Limit{
		Rate:  (l.Rate + MicroTokens(homes-1-index)) / MicroTokens(homes),
		Burst: (l.Burst + homes - 1 - index) / homes,
	}
}

// capacity returns the burst in micro-tokens.
func (l Limit) capacity() MicroTokens {
	return tokens(l.Burst)
}

// lower returns the lower of the two rates with the lower of the two bursts.
func (l Limit) lower(other Limit) Limit {
	return Limit{Rate: min(l.Rate, other.Rate), Burst: min(l.Burst, other.Burst)}
}
