package claims

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// pacer bounds the commits: burst at once, then one per interval.
type pacer struct {
	interval time.Duration
	burst    int
	// free is the time at which all of the burst is available.
	free clock.Time
}

// wait returns the time until the next commit is allowed.
func (p *pacer) wait(now clock.Time) time.Duration {
	earliest := p.free.Add(-time.Duration(p.burst-1) * p.interval)
	return max(earliest.Sub(now), 0)
}

// take counts a commit.
func (p *pacer) take(now clock.Time) {
	p.free = max(p.free, now).Add(p.interval)
}
