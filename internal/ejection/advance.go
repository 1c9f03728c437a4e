package ejection

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// advance updates a target's state from its evidence, backoff and permit.
func (j *Detector) advance(t *target, now clock.Time) {
	if t.permit.held && !t.permit.valid(now) {
		j.losePermit(t, now)
	}
	if (t.state == ejected || t.state == trial) && (j.serviceWide(t) || !j.stillOutlier(t)) {
		// The target was ejected before the baseline showed the same problem, so revert the ejection.
		j.release(t, false, now)
		t.permit.retryAt = now.Add(RevertedRetryAfter)
	}
	switch t.state {
	case healthy:
		t.decayRelapses(j.policy, now)
		if t.evidence.score() >= j.policy.SuspectScore {
			t.state = suspect
		}
	case suspect:
		if t.evidence.score() < j.policy.ClearScore {
			j.clear(t, now)
		}
	case ejected:
		if now.Sub(t.backoffUntil) >= 0 {
			t.state = trial
			t.trialsPassed = 0
			t.trialRunning = false
		}
	case trial:
		if t.trialsPassed >= j.policy.Trials {
			j.readmit(t, now)
		}
	}
	invariant.Check((t.state != ejected && t.state != trial) || t.permit.valid(now), "ejection-needs-permit",
		"target %v is %v without a permit", t.id, t.state)
}

// clear returns a suspect to the healthy state.
func (j *Detector) clear(t *target, now clock.Time) {
	t.state = healthy
	j.release(t, true, now)
}

// readmit returns a target to service with slow start.
func (j *Detector) readmit(t *target, now clock.Time) {
	t.state = healthy
	t.relapses++
	t.relapsesDecayedAt = now
	t.slowStartFrom = now
	t.inSlowStart = true
	t.evidence.errors = 0
	t.evidence.slow = 0
	j.release(t, true, now)
}

// losePermit returns a target to service as a suspect after its permit ended.
func (j *Detector) losePermit(t *target, now clock.Time) {
	t.permit.held = false
	if t.state == ejected || t.state == trial {
		t.state = suspect
		t.trialRunning = false
		t.permit.retryAt = now
	}
}

// eject takes a suspect out of service. Its permit must be valid.
func (j *Detector) eject(t *target, now clock.Time) {
	t.state = ejected
	t.trialsPassed = 0
	t.trialRunning = false
	t.backoffUntil = now.Add(t.backoff(j.policy))
}
