package quarantine

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// Publish returns this host's own evidence for its membership record, in a fixed order.
func (q *Quarantine) Publish(now clock.Time) []membership.Suspect {
	q.prune(now)
	var suspects []membership.Suspect
	for _, fingerprint := range q.fingerprints() {
		s := membership.Suspect{Fingerprint: fingerprint}
		for _, c := range q.crashes[fingerprint] {
			if now.Sub(c.at) >= Expiry {
				continue
			}
			if c.own {
				s.Crashed = append(s.Crashed, c.ref(now))
			}
			if c.clearedHere && !now.Before(c.publishClearanceAt) {
				s.Cleared = append(s.Cleared, c.ref(now))
			}
		}
		if len(s.Crashed)+len(s.Cleared) > 0 {
			suspects = append(suspects, s)
		}
	}
	return suspects
}

// fingerprints returns the fingerprints with crashes, sorted.
func (q *Quarantine) fingerprints() []string {
	fingerprints := make([]string, 0, len(q.crashes))
	for fingerprint := range q.crashes {
		fingerprints = append(fingerprints, fingerprint)
	}
	slices.Sort(fingerprints)
	return fingerprints
}

// prune removes crashes older than crashRetention.
func (q *Quarantine) prune(now clock.Time) {
	for fingerprint, crashes := range q.crashes {
		kept := slices.DeleteFunc(crashes, func(c *crash) bool { return now.Sub(c.at) >= crashRetention })
		if len(kept) == 0 {
			delete(q.crashes, fingerprint)
			continue
		}
		q.crashes[fingerprint] = kept
	}
}
