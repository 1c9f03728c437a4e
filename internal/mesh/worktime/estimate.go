package worktime

import "time"

const (
	// estimateGain is the weight of a new sample in an estimate, as in the usual smoothed round-trip time.
	estimateGain = 0.125
	// minSamples is the number of samples from which an estimate is used.
	minSamples = 4
	// deviations is the number of mean deviations above the mean from which an attempt counts as overdue. Four is
	// the factor of TCP's retransmission timer; about 2 in 100 sound attempts of a skewed distribution exceed it.
	deviations = 4
	// minOverdue keeps attempts of very short work from counting as overdue after a short delay.
	minOverdue = 300 * time.Millisecond
)

// Estimate tracks the usual duration of one kind of work. The zero value knows nothing.
type Estimate struct {
	samples   int
	mean      float64
	deviation float64
}

// Observe adds a sample. A sample far above the estimate counts only up to the overdue limit, so that a slow target does
// not become the norm at once.
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

// Known reports whether there are enough samples. A nil estimate knows nothing.
func (e *Estimate) Known() bool {
	return e != nil && e.samples >= minSamples
}

// Mean returns the usual duration.
func (e *Estimate) Mean() time.Duration {
	return time.Duration(e.mean)
}

// OverdueAfter returns the duration from which an attempt counts as overdue.
func (e *Estimate) OverdueAfter() time.Duration {
	return max(minOverdue, time.Duration(e.mean+deviations*e.deviation))
}
