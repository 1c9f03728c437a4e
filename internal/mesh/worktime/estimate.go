package worktime

import "time"

const (
	// estimateGain is the least weight of a new sample in an estimate, as in TCP's smoothed round-trip time.
	estimateGain = 0.125
	// minSamples is the number of samples from which an estimate is used.
	minSamples = 4
	// overdueDeviations is the number of mean deviations above the mean from which an attempt counts as overdue. Four is
	// the factor of TCP's retransmission timer; about 2 in 100 attempts at a healthy target with a skewed distribution
	// exceed it.
	overdueDeviations = 4
	// minOverdue is the least overdue limit, so that very short work is not overdue after a short delay.
	minOverdue = 300 * time.Millisecond
)

// Estimate tracks the usual duration of one kind of work. The zero value has no samples.
type Estimate struct {
	samples   int
	mean      float64
	deviation float64
}

// Observe adds a sample. A sample above the overdue limit counts as the limit, so that a slow target does not become
// the norm at once.
func (e *Estimate) Observe(took time.Duration) {
	if e.Known() {
		took = min(took, e.OverdueAfter())
	}
	sample := float64(took)
	e.samples++
	if e.samples == 1 {
		e.mean, e.deviation = sample, sample/2
		return
	}
	gain := max(estimateGain, 1/float64(e.samples))
	difference := sample - e.mean
	e.mean += gain * difference
	if difference < 0 {
		difference = -difference
	}
	e.deviation += gain * (difference - e.deviation)
}

// Known reports whether there are enough samples. A nil estimate has none.
func (e *Estimate) Known() bool {
	return e != nil && e.samples >= minSamples
}

// Mean returns the usual duration.
func (e *Estimate) Mean() time.Duration {
	return time.Duration(e.mean)
}

// OverdueAfter returns the duration after which an attempt counts as overdue.
func (e *Estimate) OverdueAfter() time.Duration {
	return max(minOverdue, time.Duration(e.mean+overdueDeviations*e.deviation))
}
