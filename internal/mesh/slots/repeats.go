package slots

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
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

// available reports whether there is a token for a repeat.
func (r *repeatBucket) available(now clock.Time) bool {
	r.refill(now)
	return r.tokens >= 1
}

// spend consumes a token if the attempt, which is about to run, is a repeat.
func (r *repeatBucket) spend(d Demand) {
	if d.Repeat {
		r.tokens--
	}
}
