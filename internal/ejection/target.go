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
	// rampFrom is the beginning of the current ramp.
	rampFrom clock.Time
	// ramping is set until the ramp has ended.
	ramping bool
	// holdUntil is the end of the hold of an ejected target.
	holdUntil clock.Time
	// relapses counts the ejections that are not forgiven yet.
	relapses      int
	relapsesSince clock.Time
	// passed counts the successful trials in a row.
	passed int
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
	// late and lost say that the attempt was counted as overdue or as a lost slot.
	late bool
	lost bool
	// trial says that the attempt was dispatched as a trial.
	trial bool
}

// permitState is the judge's side of a permit.
type permitState struct {
	// number identifies the latest request; replies to earlier ones are ignored.
	number uint64
	// sentAt is the time before the latest request was sent; waiting says that it is unanswered.
	sentAt  clock.Time
	waiting bool
	// until is the end of the lease held; held says that there is one.
	until clock.Time
	held  bool
	// retryAt is the time of the next request.
	retryAt clock.Time
}

// valid reports whether the permit may be used at now.
func (p *permitState) valid(now clock.Time) bool {
	return p.held && now.Before(p.until)
}

// end forgets the attempt and reports when it started.
func (t *target) end(attempt id.AttemptID) (running, bool) {
	for i, r := range t.running {
		if r.attempt == attempt {
			t.running[i] = t.running[len(t.running)-1]
			t.running = t.running[:len(t.running)-1]
			return r, true
		}
	}
	return running{}, false
}

// lostSlots counts the attempts that should have ended.
func (t *target) lostSlots() int {
	lost := 0
	for _, r := range t.running {
		if r.lost {
			lost++
		}
	}
	return lost
}

// rampWeight is the weight that the ramp allows.
func (t *target) rampWeight(p Policy, now clock.Time) float64 {
	since := now.Sub(t.rampFrom)
	if !t.ramping || since >= p.Ramp {
		return 1
	}
	return max(p.RampFloor, since.Seconds()/p.Ramp.Seconds())
}

// hold is the time for which the next ejection lasts before trials.
func (t *target) hold(p Policy) time.Duration {
	hold := p.FirstHold
	for range t.relapses {
		hold = min(2*hold, p.MaxHold)
	}
	return hold
}

// forgive takes back relapses after healthy time.
func (t *target) forgive(p Policy, now clock.Time) {
	for t.relapses > 0 && now.Sub(t.relapsesSince) >= p.RelapseDecay {
		t.relapses--
		t.relapsesSince = t.relapsesSince.Add(p.RelapseDecay)
	}
}
