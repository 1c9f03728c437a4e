package quarantine

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// Quarantine holds one daemon's evidence and its verdicts. It is not safe for concurrent use.
type Quarantine struct {
	config Config
	// running lists the fingerprints in flight at this host's targets, once per attempt.
	running map[id.TargetID][]string
	// crashes lists, by fingerprint, the crashes at which it was in flight.
	crashes   map[string][]*crash
	recent    recentCompletions
	lastCrash uint64
}

// New returns a Quarantine without evidence.
func New(config Config) *Quarantine {
	return &Quarantine{
		config:    config,
		running:   make(map[id.TargetID][]string),
		crashes:   make(map[string][]*crash),
		lastCrash: uint64(config.Incarnation),
	}
}

// Started records that a request was dispatched to a target of this host.
func (q *Quarantine) Started(fingerprint string, t id.TargetID) {
	q.running[t] = append(q.running[t], fingerprint)
}

// Ended records the end of an attempt that did not crash the target; completed says that the
// target answered, which clears the fingerprint of its earlier crashes.
func (q *Quarantine) Ended(fingerprint string, t id.TargetID, completed bool, now clock.Time) {
	if at := slices.Index(q.running[t], fingerprint); at >= 0 {
		q.running[t] = slices.Delete(q.running[t], at, at+1)
	}
	if !completed {
		return
	}
	q.recent.record(fingerprint, now)
	for _, c := range q.crashes[fingerprint] {
		q.clear(c, now)
	}
}

// Crashed records that a target of this host crashed. Every request in flight there becomes a suspect.
func (q *Quarantine) Crashed(t id.TargetID, now clock.Time) {
	q.lastCrash++
	key := crashKey{t, q.lastCrash}
	for _, fingerprint := range q.running[t] {
		c := q.addCrash(fingerprint, key, now)
		c.own = true
	}
	delete(q.running, t)
}

// Merge adds the evidence in another host's record. Records may arrive repeatedly and in any order.
func (q *Quarantine) Merge(suspects []membership.Suspect, now clock.Time) {
	for _, s := range suspects {
		for _, ref := range s.Crashed {
			q.addCrash(s.Fingerprint, crashKey{ref.Target, ref.Number}, now.Add(-ref.Age))
		}
		for _, ref := range s.Cleared {
			c := q.addCrash(s.Fingerprint, crashKey{ref.Target, ref.Number}, now.Add(-ref.Age))
			c.cleared = true
			// One published clearance is enough, so a pending one is dropped.
			c.clearedHere = c.clearedHere && !now.Before(c.publishClearanceAt)
		}
		q.clearByRecentCompletion(s.Fingerprint, now)
	}
}

// addCrash returns a fingerprint's record of a crash and adds it if it is new.
func (q *Quarantine) addCrash(fingerprint string, key crashKey, at clock.Time) *crash {
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

// clearByRecentCompletion clears a fingerprint of crashes before its last completion on this host. This
// applies to crashes that were reported here only after that completion.
func (q *Quarantine) clearByRecentCompletion(fingerprint string, now clock.Time) {
	last, ok := q.recent.last(fingerprint)
	for _, c := range q.crashes[fingerprint] {
		if ok && last > c.at {
			q.clear(c, now)
		}
	}
}

// clear records that a run on this host completed after a crash.
func (q *Quarantine) clear(c *crash, now clock.Time) {
	if c.cleared {
		return
	}
	c.cleared = true
	c.clearedHere = true
	c.publishClearanceAt = now.Add(clearanceDelay(q.config.Host, c.key))
}

// Check returns the verdict on a request.
func (q *Quarantine) Check(fingerprint string, now clock.Time) Verdict {
	if len(q.crashes[fingerprint]) == 0 {
		return Clear
	}
	if q.isCulprit(fingerprint, now) {
		return Quarantined
	}
	for _, c := range q.activeCrashes(fingerprint, now) {
		if !q.explainedByOther(c, fingerprint, now) {
			return Suspect
		}
	}
	return Clear
}
