package ratesim

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// bucket is a plain token bucket with fractional tokens.
type bucket struct {
	rate, burst, level float64
	last               time.Duration
}

// newBucket returns an empty bucket with a part of a limit.
func newBucket(limit ratelimit.Limit, part float64) bucket {
	return bucket{rate: float64(limit.Rate) / float64(ratelimit.Token) * part, burst: float64(limit.Burst) * part}
}

// settle refills up to now.
func (b *bucket) settle(now time.Duration) {
	b.level = min(b.level+b.rate*(now-b.last).Seconds(), b.burst)
	b.last = now
}

// take spends a token if there is one.
func (b *bucket) take(now time.Duration) bool {
	b.settle(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
