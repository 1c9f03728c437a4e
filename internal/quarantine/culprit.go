package quarantine

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// ambiguousCrashes is the number of crashed targets at which a request is quarantined when no
	// other request was in flight at the same crashes.
	ambiguousCrashes = 2
	// certainCrashes is the number at which it is quarantined in any case. It bounds the targets
	// that a poison request takes once the daemons know of its crashes.
	certainCrashes = 3
)

// live returns the uncleared crashes that still speak against a fingerprint: those within Expiry
// before the latest one, while that one is within Expiry.
func (q *Quarantine) live(fingerprint string, now clock.Time) []*crash {
	latest := clock.Time(-1 << 62)
	for _, c := range q.crashes[fingerprint] {
		if !c.cleared {
			latest = max(latest, c.at)
		}
	}
	var live []*crash
	for _, c := range q.crashes[fingerprint] {
		if !c.cleared && now.Sub(latest) < Expiry && latest.Sub(c.at) < Expiry {
			live = append(live, c)
		}
	}
	return live
}

// culprit reports whether the evidence singles a fingerprint out: three crashed targets, or two
// with no other fingerprint that could have crashed both.
func (q *Quarantine) culprit(fingerprint string, now clock.Time) bool {
	crashes := q.live(fingerprint, now)
	targets := len(targetsOf(crashes))
	if targets < ambiguousCrashes || targets >= certainCrashes {
		return targets >= certainCrashes
	}
	for other := range q.crashes {
		if other != fingerprint && q.shares(other, crashes, now) {
			return false
		}
	}
	return true
}

// shares reports whether a fingerprint could have caused all of the given crashes as well.
func (q *Quarantine) shares(fingerprint string, crashes []*crash, now clock.Time) bool {
	live := q.live(fingerprint, now)
	for _, c := range crashes {
		same := func(other *crash) bool { return other.key == c.key }
		if !slices.ContainsFunc(live, same) {
			return false
		}
	}
	return true
}

// explained reports whether a culprit was in flight at a crash, so that the crash says nothing
// about another fingerprint.
func (q *Quarantine) explained(c *crash, fingerprint string, now clock.Time) bool {
	for other, crashes := range q.crashes {
		same := func(o *crash) bool { return o.key == c.key && !o.cleared }
		if other != fingerprint && slices.ContainsFunc(crashes, same) && q.culprit(other, now) {
			return true
		}
	}
	return false
}

// targetsOf returns the different targets of crashes.
func targetsOf(crashes []*crash) []id.TargetID {
	var targets []id.TargetID
	for _, c := range crashes {
		if !slices.Contains(targets, c.key.target) {
			targets = append(targets, c.key.target)
		}
	}
	return targets
}
