package ejection

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// minBaselineErrorRate and maxBaselineErrorRate bound the error rate that counts as normal for a service.
	minBaselineErrorRate = 0.02
	maxBaselineErrorRate = 0.45
	// minFailingErrorRate is the lowest error rate at which a target is worth ejecting.
	minFailingErrorRate = 0.4
	// baselineSlowFraction is the fraction of slow requests that counts as normal, slowTargetFraction that
	// of a slow target.
	baselineSlowFraction = 0.05
	slowTargetFraction   = 0.5
	// maxScore bounds each sum, so that a target recovers from a long failure as fast as from a short one.
	maxScore = 20
	// maxSourceErrors is the number of consecutive errors from one source that count.
	maxSourceErrors = 2
	// sourceWindow is the time after which errors of the same source count again.
	sourceWindow = time.Second
	// averageAlpha is the weight of one sample in the published moving averages (EWMA).
	averageAlpha = 0.1
)

// evidence accumulates the observations of one target.
type evidence struct {
	// errors and slow are sums of log likelihood ratios, never below zero (CUSUM).
	errors float64
	slow   float64
	// latency is the average latency in seconds, errorRate the average fraction of failed requests.
	latency   float64
	errorRate float64
	// source is the source of the latest errors, sourceErrors their number, sourceAt the time of the first.
	source       uint64
	sourceErrors int
	sourceAt     clock.Time
}

// score returns the score of suspicion: the larger of the two sums.
func (e *evidence) score() float64 {
	return max(e.errors, e.slow)
}

// succeeded adds a completed request.
func (e *evidence) succeeded(latency time.Duration, slow bool, base float64) {
	e.errors = cusum(e.errors, false, base, failingErrorRate(base))
	e.slow = cusum(e.slow, slow, baselineSlowFraction, slowTargetFraction)
	e.sourceErrors = 0
	e.errorRate -= averageAlpha * e.errorRate
	if e.latency == 0 {
		e.latency = latency.Seconds()
	}
	e.latency += averageAlpha * (latency.Seconds() - e.latency)
}

// failed adds a failed request.
func (e *evidence) failed(source uint64, base float64, now clock.Time) {
	e.errorRate += averageAlpha * (1 - e.errorRate)
	if e.overSourceLimit(source, now) {
		return
	}
	e.errors = cusum(e.errors, true, base, failingErrorRate(base))
}

// overdue adds a running request that has taken too long.
func (e *evidence) overdue(running time.Duration) {
	e.slow = cusum(e.slow, true, baselineSlowFraction, slowTargetFraction)
	e.latency += averageAlpha * max(0, running.Seconds()-e.latency)
}

// crashed records proof that the process is gone, which raises the score to at least the given one.
func (e *evidence) crashed(score float64) {
	e.errors = max(e.errors, score)
	e.errorRate = 1
}

// overSourceLimit counts an error of a source and reports whether it exceeds maxSourceErrors, so that
// it does not count. Errors of source 0 always count.
func (e *evidence) overSourceLimit(source uint64, now clock.Time) bool {
	if source != e.source || now.Sub(e.sourceAt) > sourceWindow {
		e.source = source
		e.sourceErrors = 0
		e.sourceAt = now
	}
	e.sourceErrors++
	return source != 0 && e.sourceErrors > maxSourceErrors
}

// failingErrorRate returns the error rate that a failing target is assumed to have for a baseline.
func failingErrorRate(base float64) float64 {
	return min(0.9, max(minFailingErrorRate, 2*base))
}

// cusum adds one observation to a sum: the log likelihood ratio of a failing target to a normal one.
func cusum(sum float64, bad bool, normal, failing float64) float64 {
	if bad {
		return min(maxScore, sum+math.Log(failing/normal))
	}
	return max(0, sum+math.Log((1-failing)/(1-normal)))
}
