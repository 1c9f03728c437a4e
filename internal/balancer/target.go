package balancer

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

const (
	// rampTime is the time in which a target that began to serve reaches its full weight.
	rampTime = 10 * time.Second
	// rampFloor is the weight at the start of the ramp; it leaves enough work to warm up.
	rampFloor = 0.1
	// suspectWeight is the weight factor of a target that its gate suspects.
	suspectWeight = 0.25
	// minWeight keeps some work on a failing target, so that its recovery is seen.
	minWeight = 0.02
	// latencyGain is the weight of one sample in the latency average.
	latencyGain = 0.1
	// errorGain is the weight of one result in the error average.
	errorGain = 0.15
	// ownLatencyFor is the time for which own measurements are preferred to the record's.
	ownLatencyFor = 30 * time.Second
	// loadHalfLife is the time in which a gate's report loses half of its influence.
	loadHalfLife = time.Second
	// errorHalfLife is the time in which remembered errors lose half of their influence.
	errorHalfLife = 5 * time.Second
)

// target is one target as this observer sees it.
type target struct {
	id      id.TargetID
	service id.ServiceName
	gate    *gate
	info    membership.Target
	// servingSince is the time at which this observer saw the target begin to serve.
	servingSince clock.Time
	// outstanding counts this daemon's attempts on the target.
	outstanding int
	// others is the load that the gate reported beyond this daemon's own attempts, at othersAt.
	others   float64
	othersAt clock.Time
	latency  float64
	// latencyAt is the time of the last own measurement.
	latencyAt clock.Time
	errors    float64
	errorsAt  clock.Time
	// allAt, poolAt, localAt and trialAt are the positions in the service's lists; -1 when absent.
	allAt   int
	poolAt  int
	localAt int
	trialAt int
}

// selectable reports whether the target's own state permits new work.
func (t *target) selectable() bool {
	return t.info.State == membership.TargetServing || t.info.State == membership.TargetStarting
}

// load estimates the attempts that are running or waiting at the target.
func (t *target) load(now clock.Time) float64 {
	return float64(t.outstanding) + decayed(t.others, now.Sub(t.othersAt), loadHalfLife)
}

// weight is the share of work that the target should get relative to a healthy one.
func (t *target) weight(now clock.Time) float64 {
	w := 1.0
	if since := now.Sub(t.servingSince); since < rampTime {
		w = max(rampFloor, since.Seconds()/rampTime.Seconds())
	}
	if t.info.Suspected {
		w *= suspectWeight
	}
	failing := max(decayed(t.errors, now.Sub(t.errorsAt), errorHalfLife), float64(t.info.ErrorPercent)/100)
	w *= (1 - failing) * (1 - failing)
	return max(w, minWeight)
}

// expectedLatency returns the latency in seconds, own if recent, and zero when unknown.
func (t *target) expectedLatency(now clock.Time) float64 {
	if t.latency > 0 && now.Sub(t.latencyAt) < ownLatencyFor {
		return t.latency
	}
	return t.info.Latency.Duration().Seconds()
}

// observeLatency takes over an own measurement.
func (t *target) observeLatency(latency time.Duration, now clock.Time) {
	expected := t.expectedLatency(now)
	if expected == 0 {
		expected = latency.Seconds()
	}
	t.latency = expected + latencyGain*(latency.Seconds()-expected)
	t.latencyAt = now
}

// observeResult takes over whether an attempt failed.
func (t *target) observeResult(failed bool, now clock.Time) {
	sample := 0.0
	if failed {
		sample = 1
	}
	t.errors = decayed(t.errors, now.Sub(t.errorsAt), errorHalfLife)
	t.errors += errorGain * (sample - t.errors)
	t.errorsAt = now
}

// observeLoad takes over a gate's report.
func (t *target) observeLoad(l Load, now clock.Time) {
	busy := float64(t.info.Slots-l.FreeSlots) + float64(l.QueueLength)
	t.others = max(0, busy-float64(t.outstanding))
	t.othersAt = now
}

// decayed returns what is left of a value after a time.
func decayed(value float64, after, halfLife time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-after.Seconds()/halfLife.Seconds())
}
