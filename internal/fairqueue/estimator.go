package fairqueue

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// estimatorGain is the weight of one observation in the moving average.
	estimatorGain = 0.05
	// estimatorHalfLife is the half-life of an estimate without new observations;
	// the decay begins one half-life after the last observation. Without it, an
	// estimate that makes the queue refuse every request would never be corrected.
	estimatorHalfLife = 5 * time.Second
)

// Estimator estimates the service time of requests by an exponentially weighted
// moving average. The estimate of the zero value is zero.
type Estimator struct {
	mean time.Duration
	last clock.Time
}

// Observe adds the service time of a finished request.
func (e *Estimator) Observe(now clock.Time, took time.Duration) {
	mean := e.Expected(now)
	e.last = now
	if e.mean == 0 {
		e.mean = took
		return
	}
	e.mean = mean + time.Duration(estimatorGain*float64(took-mean))
}

// Expected returns the expected service time at now.
func (e *Estimator) Expected(now clock.Time) time.Duration {
	idle := now.Sub(e.last)
	if idle <= estimatorHalfLife {
		return e.mean
	}
	halvings := float64(idle-estimatorHalfLife) / float64(estimatorHalfLife)
	return time.Duration(float64(e.mean) * math.Exp2(-halvings))
}
