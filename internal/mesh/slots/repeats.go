package slots

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// RepeatBudget is the bound on repeated attempts at one gate. The gates of a service each hold an even part, so
// that the bound holds for the whole fleet without messages.
type RepeatBudget struct {
	// Ratio is the number of repeats earned by each first attempt.
	Ratio float64
	// Allowance is the number of repeats in each Window beside the earned ones.
	Allowance float64
	Window    time.Duration
}

// repeats is a token bucket for repeated attempts.
type repeats struct {
	budget RepeatBudget
	level  float64
	last   clock.Time
}

// set changes the budget. A first budget starts with half of the allowance: the other half refills during the
// window, so that no window sees more than the allowance.
func (r *repeats) set(now clock.Time, b RepeatBudget) {
	if r.budget == (RepeatBudget{}) {
		r.level, r.last = b.Allowance/2, now
	}
	r.refill(now)
	r.budget = b
	r.level = min(r.level, r.capacity())
}

// capacity returns the largest level.
func (r *repeats) capacity() float64 {
	return max(r.budget.Allowance/2, 1)
}

// refill credits the time that passed.
func (r *repeats) refill(now clock.Time) {
	if r.budget.Window > 0 {
		share := now.Sub(r.last).Seconds() / r.budget.Window.Seconds()
		r.level = min(r.level+share*r.budget.Allowance/2, r.capacity())
	}
	r.last = now
}

// earn credits a first attempt.
func (r *repeats) earn() {
	r.level = min(r.level+r.budget.Ratio, r.capacity()+r.budget.Ratio)
}

// take uses up one repeat if there is one.
func (r *repeats) take(now clock.Time) bool {
	r.refill(now)
	if r.level < 1 {
		return false
	}
	r.level--
	return true
}
