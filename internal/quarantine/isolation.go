package quarantine

import (
	"hash/fnv"
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// IsolationTarget returns the target on which a suspect may run, out of the service's targets that may
// take work. All daemons with the same candidates choose the same one (rendezvous hashing), so that
// a suspect runs on one target at a time. Targets that it may have crashed are excluded if there
// are more candidates than such targets.
func (q *Quarantine) IsolationTarget(fingerprint string, candidates []id.TargetID, now clock.Time) (id.TargetID, bool) {
	crashed := targetsOf(q.activeCrashes(fingerprint, now))
	// Fingerprints that share two crashes run on the same target, one at a time, so that a third crash
	// tells them apart.
	key := fingerprint
	if len(crashed) >= minCrashedTargets {
		key = ""
	}
	var best id.TargetID
	var bestHash uint64
	found := false
	for _, t := range candidates {
		if slices.Contains(crashed, t) && len(candidates) > len(crashed) {
			continue
		}
		if hash := isolationHash(key, t); !found || hash > bestHash {
			best, bestHash, found = t, hash, true
		}
	}
	return best, found
}

// MayStart reports whether a gate may dispatch a request now: never a quarantined one, and a suspect
// only while no suspect is in flight on this host, so that a crash has at most one suspect.
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

// suspectRunning reports whether a suspect or quarantined request is in flight at one of this host's targets.
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

// CrashExplained reports whether a crash of a target is explained by a quarantined request, so that it does
// not count against the target.
func (q *Quarantine) CrashExplained(t id.TargetID, now clock.Time) bool {
	for fingerprint, crashes := range q.crashes {
		for _, c := range crashes {
			if c.key.target == t && !c.cleared && q.Check(fingerprint, now) == Quarantined {
				return true
			}
		}
	}
	return false
}

// isolationHash returns the rendezvous hash of a target for a key.
func isolationHash(fingerprint string, t id.TargetID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(fingerprint))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(t.String()))
	// The multiplication spreads the last bytes, which FNV leaves in the low bits.
	return h.Sum64() * 0x9e3779b97f4a7c15
}
