package membership

import (
	"math"
	"time"
)

const (
	// latencyUnit is the duration of step 1.
	latencyUnit = 100 * time.Microsecond
	// latencyStepsPerDouble is the number of steps in which the duration doubles.
	latencyStepsPerDouble = 3
)

// CoarseLatency is a duration on a logarithmic scale with a step of about 26%.
// Coarse steps keep small variations from changing the published record.
type CoarseLatency uint8

// NewCoarseLatency rounds d to the nearest step; zero and negative durations give zero.
func NewCoarseLatency(d time.Duration) CoarseLatency {
	if d <= 0 {
		return 0
	}
	step := 1 + math.Round(latencyStepsPerDouble*math.Log2(float64(d)/float64(latencyUnit)))
	return CoarseLatency(min(max(step, 1), math.MaxUint8))
}

// Duration returns the middle of the step; zero when nothing was measured.
func (l CoarseLatency) Duration() time.Duration {
	if l == 0 {
		return 0
	}
	return time.Duration(float64(latencyUnit) * math.Exp2(float64(l-1)/latencyStepsPerDouble))
}
