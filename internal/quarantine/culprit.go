package quarantine

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// minCrashedTargets is the number of crashed targets at which a request is quarantined if no
	// other request was in flight at all of these crashes.
	minCrashedTargets = 2
	// conclusiveCrashedTargets is the number at which it is quarantined in any case. It bounds the targets
	// that a poison request can crash once the daemons know of its crashes.
	conclusiveCrashedTargets = 3
)

// activeCrashes returns the uncleared crashes that still count against a fingerprint: those less than
// Expiry before the latest one, as long as that one is less than Expiry ago.
func (q *Quarantine) activeCrashes(fingerprint string, now clock.Time) []*crash {
	latest := clock.Time(-1 << 62)
	for _, c := range q.crashes[fingerprint] {
		if !c.cleared {
			latest = max(latest, c.at)
		}
	}
	var active []*crash
	for _, c := range q.crashes[fingerprint] {
		if !c.cleared && now.Sub(latest) < Expiry && latest.Sub(c.at) < Expiry {
			active = append(active, c)
		}
	}
	return active
}

// isCulprit reports whether the evidence identifies a fingerprint as the cause: three crashed targets,
// or two with no other fingerprint that could have crashed both.
func (q *Quarantine) isCulprit(fingerprint string, now clock.Time) bool {
	crashes := q.activeCrashes(fingerprint, now)
	targets := len(targetsOf(crashes))
	if targets < minCrashedTargets || targets >= conclusiveCrashedTargets {
		return targets >= conclusiveCrashedTargets
	}
	for other := range q.crashes {
		if other != fingerprint && q.inFlightAtAll(other, crashes, now) {
			return false
		}
	}
	return true
}

// inFlightAtAll reports whether a fingerprint could also have caused all of the given crashes.
func (q *Quarantine) inFlightAtAll(fingerprint string, crashes []*crash, now clock.Time) bool {
	active := q.activeCrashes(fingerprint, now)
	for _, c := range crashes {
		same := func(other *crash) bool { return other.key == c.key }
		if !slices.ContainsFunc(active, same) {
			return false
		}
	}
	return true
}

// explainedByOther reports whether another fingerprint, identified as a culprit, was in flight at a
// crash, so that the crash does not count against this one.
func (q *Quarantine) explainedByOther(c *crash, fingerprint string, now clock.Time) bool {
	for other, crashes := range q.crashes {
		same := func(o *crash) bool { return o.key == c.key && !o.cleared }
		if other != fingerprint && slices.ContainsFunc(crashes, same) && q.isCulprit(other, now) {
			return true
		}
	}
	return false
}

// targetsOf returns the distinct targets of crashes.
func targetsOf(crashes []*crash) []id.TargetID {
	var targets []id.TargetID
	for _, c := range crashes {
		if !slices.Contains(targets, c.key.target) {
			targets = append(targets, c.key.target)
		}
	}
	return targets
}
