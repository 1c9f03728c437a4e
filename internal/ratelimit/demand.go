package ratelimit

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// demandTimeConstant is the time constant of the exponential decay of the estimate.
const demandTimeConstant = time.Second

// demand estimates a customer's request rate at this entry with an exponentially
// decaying average.
type demand struct {
	perSecond float64
	last      clock.Time
}

// observe counts one request.
func (d *demand) observe(now clock.Time) {
	d.perSecond = d.at(now) + 1/demandTimeConstant.Seconds()
	d.last = now
}

// at returns the rate in requests per second at now.
func (d *demand) at(now clock.Time) float64 {
	return d.perSecond * math.Exp(-now.Sub(d.last).Seconds()/demandTimeConstant.Seconds())
}

// expectedIn returns the whole number of requests expected in the time span.
func (d *demand) expectedIn(now clock.Time, span time.Duration) int {
	return int(d.at(now) * span.Seconds())
}
