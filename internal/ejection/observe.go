package ejection

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// overdueFactor is the multiple of the baseline latency after which a running request is overdue.
	overdueFactor = 6
	// minOverdue is the least time after which a running request is overdue, whatever the baseline.
	minOverdue = 200 * time.Millisecond
	// defaultOverdue is used while the baseline latency is unknown.
	defaultOverdue = 2 * time.Second
)

// Observe records one event of an attempt. Events of unknown targets are ignored.
func (j *Detector) Observe(o Observation) {
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
	ended, _ := t.remove(o.Attempt)
	j.addEvidence(t, o, ended)
	if t.state == trial && ended.trial {
		j.endTrial(t, o)
	}
	j.advance(t, o.At)
}

// addEvidence counts the end of an attempt for or against the target.
func (j *Detector) addEvidence(t *target, o Observation, ended running) {
	base := j.baselineErrorRate(t)
	switch o.Kind {
	case Succeeded:
		// An overdue request was already counted as slow while it ran.
		t.evidence.succeeded(o.Latency, !ended.overdue && j.isSlow(t, o.Latency, o.At), base)
	case TargetError:
		t.evidence.failed(o.Source, base, o.At)
	case StalledNew:
		t.evidence.failed(0, base, o.At)
	case Refused:
		// A refused connection proves that the process is gone.
		t.evidence.crashed(j.policy.SuspectScore)
	case Started, RequestError, StalledReused, Cancelled:
	}
}

// isSlow reports whether a latency is far above the baseline. The factor is doubled in slow start.
func (j *Detector) isSlow(t *target, latency time.Duration, now clock.Time) bool {
	base := j.baselineLatency(t)
	if base == 0 {
		return false
	}
	factor := j.policy.SlowFactor
	if t.slowStartWeight(j.policy, now) < 1 {
		factor *= 2
	}
	return latency > max(time.Duration(factor*float64(base)), base+j.policy.SlowMargin)
}

// countOverdue counts running requests that are overdue as slow, and those past their deadline as failed.
func (j *Detector) countOverdue(t *target, now clock.Time) {
	limit := defaultOverdue
	if base := j.baselineLatency(t); base > 0 {
		limit = max(minOverdue, overdueFactor*base)
	}
	for i := range t.running {
		r := &t.running[i]
		if !r.overdue && now.Sub(r.started) > limit {
			r.overdue = true
			t.evidence.overdue(now.Sub(r.started))
			if r.trial && t.state == trial {
				j.failTrial(t, now)
			}
		}
		if !r.pastDeadline && r.deadline != 0 && now.Sub(r.deadline) > 0 {
			r.pastDeadline = true
			t.evidence.failed(0, j.baselineErrorRate(t), now)
		}
	}
}

// endTrial counts the end of a trial request.
func (j *Detector) endTrial(t *target, o Observation) {
	t.trialRunning = false
	switch o.Kind {
	case Succeeded:
		if !j.isSlow(t, o.Latency, o.At) {
			t.trialsPassed++
			return
		}
		j.failTrial(t, o.At)
	case TargetError, StalledNew, Refused:
		j.failTrial(t, o.At)
	case Started, RequestError, StalledReused, Cancelled:
	}
}

// failTrial returns the target to the ejected state with a longer backoff.
func (j *Detector) failTrial(t *target, now clock.Time) {
	t.trialsPassed = 0
	t.state = ejected
	t.relapses++
	t.relapsesDecayedAt = now
	t.backoffUntil = now.Add(t.backoff(j.policy))
}
