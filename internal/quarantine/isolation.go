package quarantine

import (
	"hash/fnv"
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Isolation returns the target on which a suspect may run, out of the service's targets that may
// take work. All daemons with the same candidates choose alike (rendezvous hashing), so that a
// suspect meets one target at a time. Targets that it may have crashed are left out while there
// are others.
func (q *Quarantine) Isolation(fingerprint string, candidates []id.TargetID, now clock.Time) (id.TargetID, bool) {
	guilty := targetsOf(q.live(fingerprint, now))
	// Requests that share two crashes take turns on one target, so that a third crash tells them apart.
	key := fingerprint
	if len(guilty) >= ambiguousCrashes {
		key = ""
	}
	var best id.TargetID
	var bestHash uint64
	found := false
	for _, t := range candidates {
		if slices.Contains(guilty, t) && len(candidates) > len(guilty) {
			continue
		}
		if hash := isolationHash(key, t); !found || hash > bestHash {
			best, bestHash, found = t, hash, true
		}
	}
	return best, found
}

// MayStart reports whether a gate may dispatch a request now: never a quarantined one, and a
// suspect only while no suspect is in flight here, so that a crash has one suspect at most.
func (q *Quarantine) MayStart(fingerprint string, now clock.Time) bool {
	switch q.Check(fingerprint, now) {
	case Quarantined:
		return false
	case Suspect:
		return !q.suspectRunning(now)
	case Clear:
	}
	return true
}

// suspectRunning reports whether a suspect is in flight at one of the own targets.
func (q *Quarantine) suspectRunning(now clock.Time) bool {
	for _, running := range q.running {
		for _, fingerprint := range running {
			if q.Check(fingerprint, now) != Clear {
				return true
			}
		}
	}
	return false
}

// Excused reports whether a target's latest crashes are explained by a quarantined request, so
// that the target is not to blame.
func (q *Quarantine) Excused(t id.TargetID, now clock.Time) bool {
	for fingerprint, crashes := range q.crashes {
		for _, c := range crashes {
			if c.key.target == t && !c.cleared && q.Check(fingerprint, now) == Quarantined {
				return true
			}
		}
	}
	return false
}

// isolationHash ranks targets for a fingerprint.
func isolationHash(fingerprint string, t id.TargetID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(fingerprint))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(t.String()))
	// The multiplication spreads the last bytes, which FNV leaves in the low bits.
	return h.Sum64() * 0x9e3779b97f4a7c15
}
