package quarantine

import "buckthornlatch.example/buckthornlatch/internal/clock"

// recent remembers when fingerprints last completed here, in two generations of bounded size.
// A completion after a crash that is learned later clears the fingerprint at once.
type recent struct {
	young map[string]clock.Time
	old   map[string]clock.Time
}

// note records a completion.
func (r *recent) note(fingerprint string, now clock.Time) {
	if r.young == nil || len(r.young) >= recentLimit/2 {
		r.old = r.young
		r.young = make(map[string]clock.Time)
	}
	r.young[fingerprint] = now
}

// last returns the time of the last remembered completion.
func (r *recent) last(fingerprint string) (clock.Time, bool) {
	if at, ok := r.young[fingerprint]; ok {
		return at, true
	}
	at, ok := r.old[fingerprint]
	return at, ok
}
