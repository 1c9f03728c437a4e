package ratelimit

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// demandWindow is the time constant of the demand estimate.
const demandWindow = time.Second

// demand estimates a customer's request rate at this entry.
type demand struct {
	perSecond float64
	last      clock.Time
}

// observe counts one request.
func (d *demand) observe(now clock.Time) {
	d.perSecond = d.at(now) + 1/demandWindow.Seconds()
	d.last = now
}

// at returns the rate in requests per second at now.
func (d *demand) at(now clock.Time) float64 {
	return d.perSecond * math.Exp(-now.Sub(d.last).Seconds()/demandWindow.Seconds())
}

// within returns the whole number of requests expected in the time span.
func (d *demand) within(now clock.Time, span time.Duration) int {
	return int(d.at(now) * span.Seconds())
}
