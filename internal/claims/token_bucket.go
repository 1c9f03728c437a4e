package claims

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// tokenBucket limits the rate of commits. It holds up to burst tokens and gains one per interval.
type tokenBucket struct {
	interval time.Duration
	burst    int
	// fullAt is the time at which the bucket is full again.
	fullAt clock.Time
}

// wait returns the time until a token is available.
func (b *tokenBucket) wait(now clock.Time) time.Duration {
	earliest := b.fullAt.Add(-time.Duration(b.burst-1) * b.interval)
	return max(earliest.Sub(now), 0)
}

// take uses up one token.
func (b *tokenBucket) take(now clock.Time) {
	b.fullAt = max(b.fullAt, now).Add(b.interval)
}
