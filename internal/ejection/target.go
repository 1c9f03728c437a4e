package ejection

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// target is one of the gate's own targets.
type target struct {
	id       id.TargetID
	service  id.ServiceName
	state    health
	evidence evidence
	running  []running
	// slowStartFrom is the beginning of the latest slow start.
	slowStartFrom clock.Time
	// inSlowStart is set when a slow start begins. It is not reset; slowStartWeight checks the time.
	inSlowStart bool
	// backoffUntil is the time at which trials of an ejected target begin.
	backoffUntil clock.Time
	// relapses counts readmissions and failed trials. It decays over time, counted from relapsesDecayedAt.
	relapses          int
	relapsesDecayedAt clock.Time
	// trialsPassed counts consecutive successful trials.
	trialsPassed int
	// trialRunning is set while a trial request is in flight.
	trialRunning bool
	permit       permitState
	published    published
}

// running is an attempt in flight.
type running struct {
	attempt  id.AttemptID
	started  clock.Time
	deadline clock.Time
	// overdue and pastDeadline say that the attempt was counted as overdue, or as past its deadline.
	overdue      bool
	pastDeadline bool
	// trial says that the attempt was dispatched as a trial.
	trial bool
}

// permitState is the gate's side of a permit.
type permitState struct {
	// number identifies the latest request; replies to earlier ones are ignored.
	number uint64
	// sentAt is a time just before the latest request was sent; waiting says that it has no reply yet.
	sentAt  clock.Time
	waiting bool
	// until is the end of the lease, if one is held.
	until clock.Time
	held  bool
	// retryAt is the earliest time of the next request.
	retryAt clock.Time
}

// valid reports whether the permit is held and its lease has not ended.
func (p *permitState) valid(now clock.Time) bool {
	return p.held && now.Before(p.until)
}

// remove removes a running attempt and returns it.
func (t *target) remove(attempt id.AttemptID) (running, bool) {
	for i, r := range t.running {
		if r.attempt == attempt {
			t.running[i] = t.running[len(t.running)-1]
			t.running = t.running[:len(t.running)-1]
			return r, true
		}
	}
	return running{}, false
}

// attemptsPastDeadline counts the running attempts that are past their deadline.
func (t *target) attemptsPastDeadline() int {
	count := 0
	for _, r := range t.running {
		if r.pastDeadline {
			count++
		}
	}
	return count
}

// slowStartWeight returns the weight that slow start allows; 1 outside of it.
func (t *target) slowStartWeight(p Policy, now clock.Time) float64 {
	since := now.Sub(t.slowStartFrom)
	if !t.inSlowStart || since >= p.SlowStart {
		return 1
	}
	return max(p.SlowStartMinWeight, since.Seconds()/p.SlowStart.Seconds())
}

// backoff returns the time before the next trial, which doubles with each relapse.
func (t *target) backoff(p Policy) time.Duration {
	backoff := p.InitialBackoff
	for range t.relapses {
		backoff = min(2*backoff, p.MaxBackoff)
	}
	return backoff
}

// decayRelapses decreases the number of relapses by one per RelapseDecay since the last one.
func (t *target) decayRelapses(p Policy, now clock.Time) {
	for t.relapses > 0 && now.Sub(t.relapsesDecayedAt) >= p.RelapseDecay {
		t.relapses--
		t.relapsesDecayedAt = t.relapsesDecayedAt.Add(p.RelapseDecay)
	}
}
