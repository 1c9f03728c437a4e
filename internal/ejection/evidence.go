package ejection

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// minErrorBase and maxErrorBase bound the error rate that counts as normal for a service.
	minErrorBase = 0.02
	maxErrorBase = 0.45
	// failingRate is the least error rate of a target that is worth ejecting.
	failingRate = 0.4
	// slowBase is the part of slow requests that counts as normal, slowRate that of a slow target.
	slowBase = 0.05
	slowRate = 0.5
	// maxScore bounds the sum, so that a long failure is forgotten as fast as a short one.
	maxScore = 20
	// sourceLimit is the number of errors in a row from one source that count as evidence.
	sourceLimit = 2
	// sourceWindow is the time after which errors of the same source count again.
	sourceWindow = time.Second
	// averageGain is the weight of one sample in the published averages.
	averageGain = 0.1
)

// evidence sums up what speaks against one target.
type evidence struct {
	// errors and slow are sums of log likelihood ratios, never below zero (CUSUM).
	errors float64
	slow   float64
	// latency is the average latency in seconds, errorRate the average part of failed work.
	latency   float64
	errorRate float64
	// source is the source of the latest errors, sourceErrors their number.
	source       uint64
	sourceErrors int
	sourceAt     clock.Time
}

// score is the stronger of the two sums.
func (e *evidence) score() float64 {
	return max(e.errors, e.slow)
}

// succeeded adds a completed request.
func (e *evidence) succeeded(latency time.Duration, slow bool, base float64) {
	e.errors = step(e.errors, false, base, failing(base))
	e.slow = step(e.slow, slow, slowBase, slowRate)
	e.sourceErrors = 0
	e.errorRate -= averageGain * e.errorRate
	if e.latency == 0 {
		e.latency = latency.Seconds()
	}
	e.latency += averageGain * (latency.Seconds() - e.latency)
}

// failed adds a failed request.
func (e *evidence) failed(source uint64, base float64, now clock.Time) {
	e.errorRate += averageGain * (1 - e.errorRate)
	if e.repeated(source, now) {
		return
	}
	e.errors = step(e.errors, true, base, failing(base))
}

// overdue adds a request that has not ended in time.
func (e *evidence) overdue(running time.Duration) {
	e.slow = step(e.slow, true, slowBase, slowRate)
	e.latency += averageGain * max(0, running.Seconds()-e.latency)
}

// crashed adds a proof that the process is gone.
func (e *evidence) crashed(score float64) {
	e.errors = max(e.errors, score)
	e.errorRate = 1
}

// repeated reports whether an error repeats those of one source and adds nothing.
func (e *evidence) repeated(source uint64, now clock.Time) bool {
	if source != e.source || now.Sub(e.sourceAt) > sourceWindow {
		e.source = source
		e.sourceErrors = 0
		e.sourceAt = now
	}
	e.sourceErrors++
	return source != 0 && e.sourceErrors > sourceLimit
}

// failing is the error rate of a failing target where base is normal.
func failing(base float64) float64 {
	return min(0.9, max(failingRate, 2*base))
}

// step adds one log likelihood ratio to a sum.
func step(sum float64, bad bool, normal, failing float64) float64 {
	if bad {
		return min(maxScore, sum+math.Log(failing/normal))
	}
	return max(0, sum+math.Log((1-failing)/(1-normal)))
}
