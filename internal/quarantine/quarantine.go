package quarantine

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// Quarantine is one daemon's evidence. It is not safe for concurrent use.
type Quarantine struct {
	config Config
	// running lists the fingerprints in flight at the own targets, once per attempt.
	running map[id.TargetID][]string
	// crashes lists the crashes at which a fingerprint was in flight.
	crashes map[string][]*crash
	recent  recent
	number  uint64
}

// New returns an empty quarantine.
func New(config Config) *Quarantine {
	return &Quarantine{
		config:  config,
		running: make(map[id.TargetID][]string),
		crashes: make(map[string][]*crash),
		number:  uint64(config.Incarnation),
	}
}

// Started records that a request was dispatched to an own target.
func (q *Quarantine) Started(fingerprint string, t id.TargetID) {
	q.running[t] = append(q.running[t], fingerprint)
}

// Ended records the end of an attempt that did not crash the target; completed says that the
// target answered.
func (q *Quarantine) Ended(fingerprint string, t id.TargetID, completed bool, now clock.Time) {
	if at := slices.Index(q.running[t], fingerprint); at >= 0 {
		q.running[t] = slices.Delete(q.running[t], at, at+1)
	}
	if !completed {
		return
	}
	q.recent.note(fingerprint, now)
	for _, c := range q.crashes[fingerprint] {
		q.clear(c, now)
	}
}

// Crashed records that an own target crashed. Every request in flight there becomes a suspect.
func (q *Quarantine) Crashed(t id.TargetID, now clock.Time) {
	q.number++
	key := crashKey{t, q.number}
	for _, fingerprint := range q.running[t] {
		c := q.learn(fingerprint, key, now)
		c.own = true
	}
	delete(q.running, t)
}

// Merge takes over the evidence in another host's record. It may be repeated and in any order.
func (q *Quarantine) Merge(suspects []membership.Suspect, now clock.Time) {
	for _, s := range suspects {
		for _, ref := range s.Crashed {
			q.learn(s.Fingerprint, crashKey{ref.Target, ref.Number}, now.Add(-ref.Age))
		}
		for _, ref := range s.Cleared {
			c := q.learn(s.Fingerprint, crashKey{ref.Target, ref.Number}, now.Add(-ref.Age))
			c.cleared = true
			// One published clearance is enough.
			c.ownClear = c.ownClear && !now.Before(c.publishClear)
		}
		q.clearByRecent(s.Fingerprint, now)
	}
}

// learn returns the record of a crash, new or known.
func (q *Quarantine) learn(fingerprint string, key crashKey, at clock.Time) *crash {
	for _, c := range q.crashes[fingerprint] {
		if c.key == key {
			c.at = min(c.at, at)
			return c
		}
	}
	c := &crash{key: key, at: at}
	q.crashes[fingerprint] = append(q.crashes[fingerprint], c)
	return c
}

// clearByRecent clears a fingerprint of the crashes that it survived here before they were learned.
func (q *Quarantine) clearByRecent(fingerprint string, now clock.Time) {
	last, ok := q.recent.last(fingerprint)
	for _, c := range q.crashes[fingerprint] {
		if ok && last > c.at {
			q.clear(c, now)
		}
	}
}

// clear records a completed run after a crash.
func (q *Quarantine) clear(c *crash, now clock.Time) {
	if c.cleared {
		return
	}
	c.cleared = true
	c.ownClear = true
	c.publishClear = now.Add(clearDelay(q.config.Host, c.key))
}

// Check returns the verdict on a request.
func (q *Quarantine) Check(fingerprint string, now clock.Time) Verdict {
	if len(q.crashes[fingerprint]) == 0 {
		return Clear
	}
	if q.culprit(fingerprint, now) {
		return Quarantined
	}
	for _, c := range q.live(fingerprint, now) {
		if !q.explained(c, fingerprint, now) {
			return Suspect
		}
	}
	return Clear
}
