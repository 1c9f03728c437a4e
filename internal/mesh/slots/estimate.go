package slots

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
	// unknownRouteFactor is applied to the limit of all work for a route without samples.
	unknownRouteFactor = 2
	// defaultOverdue is used until there are enough samples and no objective is known.
	defaultOverdue = 3 * time.Second
	// defaultExpected is used for the duration of work of which no sample is known.
	defaultExpected = 300 * time.Millisecond
)

// estimate tracks the usual duration of one route's work.
type estimate struct {
	samples   int
	mean      float64
	deviation float64
}

// observe adds a sample.
func (e *estimate) observe(took time.Duration) {
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

// known reports whether there are enough samples.
func (e *estimate) known() bool {
	return e != nil && e.samples >= minSamples
}

// overdueAfter returns the duration from which an attempt counts as overdue.
func (e *estimate) overdueAfter() time.Duration {
	return max(minOverdue, time.Duration(e.mean+deviations*e.deviation))
}
