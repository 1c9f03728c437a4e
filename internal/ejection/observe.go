package ejection

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// overdueFactor is the multiple of the median after which a running request counts as slow.
	overdueFactor = 6
	// minOverdue is the least running time that counts as slow.
	minOverdue = 200 * time.Millisecond
	// unknownOverdue is used while no median is known.
	unknownOverdue = 2 * time.Second
)

// Observe takes over one event of an attempt. Events of unknown targets are ignored.
func (j *Judge) Observe(o Observation) {
	t := j.target(o.Target)
	if t == nil {
		return
	}
	if o.Kind == Started {
		r := running{attempt: o.Attempt, started: o.At, deadline: o.Deadline, trial: t.state == trial}
		t.running = append(t.running, r)
		t.trialRunning = t.trialRunning || r.trial
		return
	}
	ended, _ := t.end(o.Attempt)
	j.addEvidence(t, o, ended)
	if t.state == trial && ended.trial {
		j.endTrial(t, o)
	}
	j.advance(t, o.At)
}

// addEvidence counts the end of an attempt for or against the target.
func (j *Judge) addEvidence(t *target, o Observation, ended running) {
	base := j.baseErrors(t)
	switch o.Kind {
	case Succeeded:
		// A late request was counted as slow while it ran.
		t.evidence.succeeded(o.Latency, !ended.late && j.isSlow(t, o.Latency, o.At), base)
	case TargetError:
		t.evidence.failed(o.Source, base, o.At)
	case SilentNew:
		t.evidence.failed(0, base, o.At)
	case Refused:
		// A refused connection proves that the process is not there.
		t.evidence.crashed(j.policy.SuspectScore)
	case Started, RequestError, SilentReused, Cancelled:
	}
}

// isSlow compares a latency with the service's other targets. A target in its ramp is given more time.
func (j *Judge) isSlow(t *target, latency time.Duration, now clock.Time) bool {
	base := j.baseLatency(t)
	if base == 0 {
		return false
	}
	factor := j.policy.SlowFactor
	if t.rampWeight(j.policy, now) < 1 {
		factor *= 2
	}
	return latency > max(time.Duration(factor*float64(base)), base+j.policy.SlowMargin)
}

// countOverdue counts running requests that take far too long, and those beyond their deadline as lost slots.
func (j *Judge) countOverdue(t *target, now clock.Time) {
	limit := unknownOverdue
	if base := j.baseLatency(t); base > 0 {
		limit = max(minOverdue, overdueFactor*base)
	}
	for i := range t.running {
		r := &t.running[i]
		if !r.late && now.Sub(r.started) > limit {
			r.late = true
			t.evidence.overdue(now.Sub(r.started))
			if r.trial && t.state == trial {
				j.failTrial(t, now)
			}
		}
		if !r.lost && r.deadline != 0 && now.Sub(r.deadline) > 0 {
			r.lost = true
			t.evidence.failed(0, j.baseErrors(t), now)
		}
	}
}

// endTrial counts a trial request.
func (j *Judge) endTrial(t *target, o Observation) {
	t.trialRunning = false
	switch o.Kind {
	case Succeeded:
		if !j.isSlow(t, o.Latency, o.At) {
			t.passed++
			return
		}
		j.failTrial(t, o.At)
	case TargetError, SilentNew, Refused:
		j.failTrial(t, o.At)
	case Started, RequestError, SilentReused, Cancelled:
	}
}

// failTrial sends the target back for a longer hold.
func (j *Judge) failTrial(t *target, now clock.Time) {
	t.passed = 0
	t.state = ejected
	t.relapses++
	t.relapsesSince = now
	t.holdUntil = now.Add(t.hold(j.policy))
}
