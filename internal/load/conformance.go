package load

import "time"

// conformance is the reference token bucket of one customer's limit.
type conformance struct {
	rate, burst, level float64
	last               time.Duration
}

// newConformance returns a full bucket.
func newConformance(rate, burst float64) *conformance {
	return &conformance{rate: rate, burst: burst, level: burst}
}

// take reports whether a request that is due at t is inside the limit.
func (c *conformance) take(t time.Duration) bool {
	c.level = min(c.burst, c.level+c.rate*(t-c.last).Seconds())
	c.last = t
	if c.level < 1 {
		return false
	}
	c.level--
	return true
}
