package slots

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// repeatsHalfLife is the half-life of earlier repeats in the estimate of what more urgent levels need. It is half of the usual
	// window of a budget. With 2 s, tokens for repeats that come every 3 s were given away between them.
	repeatsHalfLife = 5 * time.Second
	// forgottenRepeats is the estimate below which nothing is reserved. Tokens are reserved whole, because a part of one serves
	// nobody.
	forgottenRepeats = 0.25
	// urgentLevel is the least urgent level that may use the whole budget: nested attempts, whose request has work behind it,
	// and rank 0.
	urgentLevel = 1
)

// RepeatBudget bounds the repeated attempts at one gate. The budget of a service is split evenly among its gates, so
// that the bound holds for the whole fleet without coordination.
type RepeatBudget struct {
	// Ratio is the number of repeats credited for each first attempt.
	Ratio float64
	// Allowance is the number of repeats in each Window in addition to the credited ones.
	Allowance float64
	Window    time.Duration
}

// repeatBucket is a token bucket for repeated attempts.
type repeatBucket struct {
	budget RepeatBudget
	tokens float64
	last   clock.Time
	// asked is the decayed number of repeats of each level that asked for a token, at the time askedAt.
	asked   [levels]float64
	askedAt clock.Time
}

// set changes the budget. The first budget starts with half of the allowance: the other half refills during the window,
// so that no window sees more than the allowance.
func (r *repeatBucket) set(now clock.Time, b RepeatBudget) {
	if r.budget == (RepeatBudget{}) {
		r.tokens, r.last = b.Allowance/2, now
	}
	r.refill(now)
	r.budget = b
	r.tokens = min(r.tokens, r.capacity())
}

// capacity returns the number of tokens up to which the bucket refills.
func (r *repeatBucket) capacity() float64 {
	return max(r.budget.Allowance/2, 1)
}

// refill adds the tokens of the elapsed time.
func (r *repeatBucket) refill(now clock.Time) {
	if r.budget.Window > 0 {
		share := now.Sub(r.last).Seconds() / r.budget.Window.Seconds()
		r.tokens = min(r.tokens+share*r.budget.Allowance/2, r.capacity())
	}
	r.last = now
}

// credit adds the tokens of a first attempt.
func (r *repeatBucket) credit() {
	r.tokens = min(r.tokens+r.budget.Ratio, r.capacity()+r.budget.Ratio)
}

// available reports whether there is a token for a repeat of a level beyond those that are reserved for more urgent levels.
func (r *repeatBucket) available(now clock.Time, level int) bool {
	r.refill(now)
	return r.tokens >= 1+r.reserved(now, level)
}

// reserved returns the number of tokens that are reserved for more urgent levels than the given one: 1.5 times as many as these
// have recently asked for, but at most half of those beyond the first. A bucket holds two tokens where a service has many gates;
// kept nearly full, it would lose the tokens that no longer fit, and with them repeats that no more urgent level needs.
func (r *repeatBucket) reserved(now clock.Time, level int) float64 {
	if level <= urgentLevel {
		return 0
	}
	r.decayAsked(now)
	sum := 0.0
	for _, n := range r.asked[:level] {
		sum += n
	}
	return min(max(math.Ceil(reserveFactor*sum-forgottenRepeats), 0), (r.capacity()-1)/2)
}

// ask records a repeat that asks for a token, and reports whether there is one. A refused repeat counts in part only, since it asks
// other gates.
func (r *repeatBucket) ask(now clock.Time, level int) bool {
	granted := r.available(now, level)
	r.decayAsked(now)
	if granted {
		r.asked[level]++
	} else {
		r.asked[level] += refusedWeight
	}
	return granted
}

// decayAsked lets the numbers of repeats decay up to now.
func (r *repeatBucket) decayAsked(now clock.Time) {
	if now == r.askedAt {
		return
	}
	factor := math.Exp2(-now.Sub(r.askedAt).Seconds() / repeatsHalfLife.Seconds())
	for i := range r.asked {
		r.asked[i] *= factor
	}
	r.askedAt = now
}

// spend consumes a token if the attempt, which is about to run, is a repeat.
func (r *repeatBucket) spend(d Demand) {
	if d.Repeat {
		r.tokens--
	}
}
