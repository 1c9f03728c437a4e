package ejection

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// advance moves a target to the state that its evidence, hold and permit call for.
func (j *Judge) advance(t *target, now clock.Time) {
	if t.permit.held && !t.permit.valid(now) {
		j.losePermit(t, now)
	}
	if (t.state == ejected || t.state == trial) && (j.serviceWide(t) || !j.justified(t)) {
		// An ejection that came before the others showed the same is taken back.
		j.release(t, false, now)
		t.permit.retryAt = now.Add(RecallWait)
	}
	switch t.state {
	case healthy:
		t.forgive(j.policy, now)
		if t.evidence.score() >= j.policy.SuspectScore {
			t.state = suspect
		}
	case suspect:
		if t.evidence.score() < j.policy.ClearScore {
			j.clear(t, now)
		}
	case ejected:
		if now.Sub(t.holdUntil) >= 0 {
			t.state = trial
			t.passed = 0
			t.trialRunning = false
		}
	case trial:
		if t.passed >= j.policy.Trials {
			j.readmit(t, now)
		}
	}
	invariant.Check((t.state != ejected && t.state != trial) || t.permit.valid(now), "ejection-needs-permit",
		"target %v is %v without a permit", t.id, t.state)
}

// clear ends a suspicion without an ejection.
func (j *Judge) clear(t *target, now clock.Time) {
	t.state = healthy
	j.release(t, true, now)
}

// readmit returns a target to service with a ramp.
func (j *Judge) readmit(t *target, now clock.Time) {
	t.state = healthy
	t.relapses++
	t.relapsesSince = now
	t.rampFrom = now
	t.ramping = true
	t.evidence.errors = 0
	t.evidence.slow = 0
	j.release(t, true, now)
}

// losePermit returns a target to service as a suspect because its permit ended.
func (j *Judge) losePermit(t *target, now clock.Time) {
	t.permit.held = false
	if t.state == ejected || t.state == trial {
		t.state = suspect
		t.trialRunning = false
		t.permit.retryAt = now
	}
}

// eject takes a suspect out of service; the permit must be valid.
func (j *Judge) eject(t *target, now clock.Time) {
	t.state = ejected
	t.passed = 0
	t.trialRunning = false
	t.holdUntil = now.Add(t.hold(j.policy))
}
