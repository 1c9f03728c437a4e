package ejection

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Requests returns the permit requests that are due. The caller sends each one after now and
// passes the reply, or Unreachable, to HandleReply.
func (j *Detector) Requests(now clock.Time) []Request {
	var due []Request
	for _, t := range j.targets {
		j.advance(t, now)
		if !j.needsPermit(t) || now.Before(t.permit.retryAt) {
			continue
		}
		j.number++
		t.permit.number = j.number
		t.permit.sentAt = now
		t.permit.waiting = true
		t.permit.retryAt = now.Add(RetryAfter)
		due = append(due, Request{j.holder, t.service, t.id, t.permit.number})
	}
	return due
}

// needsPermit reports whether a target's state requires a permit or its renewal.
func (j *Detector) needsPermit(t *target) bool {
	switch t.state {
	case suspect:
		return !j.serviceWide(t)
	case ejected, trial:
		return true
	case healthy:
	}
	return false
}

// HandleReply applies a home's reply. Only the reply to the latest request of a target counts.
func (j *Detector) HandleReply(r Reply, now clock.Time) {
	t := j.target(r.Target)
	if t == nil || !t.permit.waiting || t.permit.number != r.Number {
		return
	}
	t.permit.waiting = false
	j.advance(t, now)
	if !j.needsPermit(t) {
		return
	}
	switch r.Decision {
	case Granted:
		j.granted(t, now)
	case ServiceWide:
		// The service as a whole is unhealthy, so the target returns to service at once.
		j.release(t, false, now)
		j.advance(t, now)
	case AtFloor, NotHome, Unreachable:
	}
}

// granted starts or extends the lease, from before the request was sent.
func (j *Detector) granted(t *target, now clock.Time) {
	until := t.permit.sentAt.Add(Lease)
	if !now.Before(until) {
		return
	}
	t.permit.held = true
	t.permit.until = until
	t.permit.retryAt = t.permit.sentAt.Add(RenewAfter)
	if t.state == suspect {
		j.eject(t, now)
	}
}

// release queues the release of a permit. The target is back in service before the release is sent.
func (j *Detector) release(t *target, cleared bool, now clock.Time) {
	if t.state == ejected || t.state == trial {
		t.state = suspect
	}
	if t.permit.number > 0 {
		j.releases = append(j.releases, Release{j.holder, t.service, t.id, t.permit.number, cleared})
	}
	t.permit.held = false
	t.permit.waiting = false
	t.permit.retryAt = now.Add(RetryAfter)
}

// Releases returns each release to be sent once. If one is lost, the home counts the permit until its
// lease ends.
func (j *Detector) Releases() []Release {
	due := j.releases
	j.releases = nil
	return due
}

// EjectedUnderPermit reports whether a target is ejected, or in trial, under a valid permit.
func (j *Detector) EjectedUnderPermit(id id.TargetID, now clock.Time) bool {
	t := j.target(id)
	return t != nil && (t.state == ejected || t.state == trial) && t.permit.valid(now)
}
