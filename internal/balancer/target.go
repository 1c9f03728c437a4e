package balancer

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

const (
	// slowStartWindow is the time in which a target that started serving ramps up to full weight.
	slowStartWindow = 10 * time.Second
	// slowStartMinWeight is the weight at the beginning of slow start, enough work to warm up.
	slowStartMinWeight = 0.1
	// suspectWeight is the weight factor of a target that its gate suspects.
	suspectWeight = 0.25
	// minWeight keeps some work on a failing target, so that its recovery is noticed.
	minWeight = 0.02
	// latencyAlpha is the weight of one sample in the moving average of the latency (EWMA).
	latencyAlpha = 0.1
	// errorAlpha is the weight of one result in the moving average of the error rate (EWMA).
	errorAlpha = 0.15
	// ownLatencyTTL is the time for which this daemon's measurements are preferred to the record's.
	ownLatencyTTL = 30 * time.Second
	// loadHalfLife is the half-life of the load that a gate reported.
	loadHalfLife = time.Second
	// errorHalfLife is the half-life of the error rate while there are no new results.
	errorHalfLife = 5 * time.Second
)

// target is this daemon's view of one target.
type target struct {
	id      id.TargetID
	service id.ServiceName
	gate    *gate
	info    membership.Target
	// servingSince is the time at which this daemon first saw the target serving.
	servingSince clock.Time
	// outstanding counts this daemon's attempts on the target.
	outstanding int
	// otherLoad is the load beyond this daemon's own attempts that the gate reported at otherLoadAt.
	otherLoad   float64
	otherLoadAt clock.Time
	latency     float64
	// latencyAt is the time of this daemon's last latency measurement.
	latencyAt   clock.Time
	errorRate   float64
	errorRateAt clock.Time
	// allIndex, availableIndex, localIndex and trialIndex are the positions in the pool's lists; -1 when absent.
	allIndex       int
	availableIndex int
	localIndex     int
	trialIndex     int
}

// selectable reports whether the target's own state permits new work.
func (t *target) selectable() bool {
	return t.info.State == membership.TargetServing || t.info.State == membership.TargetStarting
}

// load estimates the number of attempts that run or are queued at the target.
func (t *target) load(now clock.Time) float64 {
	return float64(t.outstanding) + decayed(t.otherLoad, now.Sub(t.otherLoadAt), loadHalfLife)
}

// weight returns the share of work that the target should get relative to a healthy one.
func (t *target) weight(now clock.Time) float64 {
	w := 1.0
	if since := now.Sub(t.servingSince); since < slowStartWindow {
		w = max(slowStartMinWeight, since.Seconds()/slowStartWindow.Seconds())
	}
	if t.info.Suspected {
		w *= suspectWeight
	}
	failing := max(decayed(t.errorRate, now.Sub(t.errorRateAt), errorHalfLife), float64(t.info.ErrorPercent)/100)
	w *= (1 - failing) * (1 - failing)
	return max(w, minWeight)
}

// expectedLatency returns the latency in seconds: this daemon's own measurement if recent, else the
// record's, which is zero when unknown.
func (t *target) expectedLatency(now clock.Time) float64 {
	if t.latency > 0 && now.Sub(t.latencyAt) < ownLatencyTTL {
		return t.latency
	}
	return t.info.Latency.Duration().Seconds()
}

// observeLatency adds a measurement to the latency average.
func (t *target) observeLatency(latency time.Duration, now clock.Time) {
	expected := t.expectedLatency(now)
	if expected == 0 {
		expected = latency.Seconds()
	}
	t.latency = expected + latencyAlpha*(latency.Seconds()-expected)
	t.latencyAt = now
}

// observeResult adds a result to the error rate.
func (t *target) observeResult(failed bool, now clock.Time) {
	sample := 0.0
	if failed {
		sample = 1
	}
	t.errorRate = decayed(t.errorRate, now.Sub(t.errorRateAt), errorHalfLife)
	t.errorRate += errorAlpha * (sample - t.errorRate)
	t.errorRateAt = now
}

// observeLoad records the load that a gate reported.
func (t *target) observeLoad(l Load, now clock.Time) {
	busy := float64(t.info.Slots-l.FreeSlots) + float64(l.QueueLength)
	t.otherLoad = max(0, busy-float64(t.outstanding))
	t.otherLoadAt = now
}

// decayed returns a value after exponential decay with the given half-life.
func decayed(value float64, after, halfLife time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-after.Seconds()/halfLife.Seconds())
}
