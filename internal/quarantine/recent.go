package quarantine

import "buckthornlatch.example/buckthornlatch/internal/clock"

// recentCompletions records when fingerprints last completed on this host, in two generations of bounded
// size. With it a crash that is reported only after a later completion is cleared at once.
type recentCompletions struct {
	young map[string]clock.Time
	old   map[string]clock.Time
}

// record records a completion.
func (r *recentCompletions) record(fingerprint string, now clock.Time) {
	if r.young == nil || len(r.young) >= maxRecentCompletions/2 {
		r.old = r.young
		r.young = make(map[string]clock.Time)
	}
	r.young[fingerprint] = now
}

// last returns the time of the last recorded completion.
func (r *recentCompletions) last(fingerprint string) (clock.Time, bool) {
	if at, ok := r.young[fingerprint]; ok {
		return at, true
	}
	at, ok := r.old[fingerprint]
	return at, ok
}
