package ratelimit_test

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// span is the set of all windows that start while the same burst applies.
type span struct {
	// burst is the largest burst since the start of the windows.
	burst float64
	// left is the number of requests that may still be admitted in the window that
	// is closest to its bound.
	left float64
}

// windowChecker checks the admissions in every window up to now against the largest
// burst during the window plus the integral of the rate.
type windowChecker struct {
	spans []span
	burst float64
	now   time.Duration
}

// advance moves the end of all windows to now under limit.
func (w *windowChecker) advance(now time.Duration, limit ratelimit.Limit) {
	burst := float64(limit.Burst)
	gained := float64(limit.Rate) / float64(ratelimit.Token) * (now - w.now).Seconds()
	w.now = now
	for i := range w.spans {
		s := &w.spans[i]
		s.left += gained
		if i == len(w.spans)-1 {
			s.left = min(s.left, s.burst)
		}
		if burst > s.burst {
			s.left += burst - s.burst
			s.burst = burst
		}
	}
	if len(w.spans) == 0 || burst != w.burst {
		w.spans = append(w.spans, span{burst: burst, left: burst})
		w.burst = burst
	}
}

// admit counts one admission and returns by how many tokens a window is exceeded.
func (w *windowChecker) admit(now time.Duration, limit ratelimit.Limit) float64 {
	w.advance(now, limit)
	over := 0.0
	for i := range w.spans {
		w.spans[i].left--
		over = max(over, -w.spans[i].left)
	}
	return over
}
