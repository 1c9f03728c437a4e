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

// take reports whether a request that is due at t and costs that many tokens is inside the limit.
func (c *conformance) take(t time.Duration, cost float64) bool {
	c.level = min(c.burst, c.level+c.rate*(t-c.last).Seconds())
	c.last = t
	if c.level < cost {
		return false
	}
	c.level -= cost
	return true
}
