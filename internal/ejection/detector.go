package ejection

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Detector is the outlier detector for the targets of one gate. It is not safe for concurrent use.
type Detector struct {
	holder   Holder
	policy   Policy
	targets  []*target
	services map[id.ServiceName]*service
	releases []Release
	// number counts the permit requests of all targets. It is never reset, so that a late release cannot
	// match a newer permit.
	number uint64
}

// NewDetector returns an outlier detector without targets. holder identifies the gate process.
func NewDetector(holder Holder, policy Policy) *Detector {
	return &Detector{holder: holder, policy: policy, services: make(map[id.ServiceName]*service)}
}

// Announce adds a target in slow start. A known target is replaced, without its observations.
func (j *Detector) Announce(t id.TargetID, name id.ServiceName, now clock.Time) {
	j.Withdraw(t, now)
	if j.services[name] == nil {
		j.services[name] = &service{}
	}
	j.targets = append(j.targets, &target{id: t, service: name, slowStartFrom: now, inSlowStart: true})
}

// Withdraw removes a target that left or whose announcements stopped.
func (j *Detector) Withdraw(t id.TargetID, now clock.Time) {
	for i, known := range j.targets {
		if known.id == t {
			j.release(known, true, now)
			j.targets = append(j.targets[:i], j.targets[i+1:]...)
			return
		}
	}
}

// SetPeers replaces the state of the service's targets on other hosts. The caller should leave out
// targets whose host is suspected.
func (j *Detector) SetPeers(name id.ServiceName, peers []Peer) {
	if j.services[name] == nil {
		j.services[name] = &service{}
	}
	j.services[name].peers = peers
}

// Eligible returns what work a target may get now. Unknown targets get none.
func (j *Detector) Eligible(id id.TargetID, now clock.Time) Eligibility {
	t := j.target(id)
	if t == nil {
		return Eligibility{}
	}
	j.advance(t, now)
	switch t.state {
	case ejected:
		return Eligibility{}
	case trial:
		return Eligibility{Admit: !t.trialRunning, IdempotentOnly: true, Weight: j.policy.SlowStartMinWeight}
	case suspect:
		return Eligibility{Admit: true, Weight: j.policy.SuspectWeight * t.slowStartWeight(j.policy, now)}
	case healthy:
	}
	return Eligibility{Admit: true, Weight: t.slowStartWeight(j.policy, now)}
}

// Tick updates all targets to now: overdue requests, backoffs and leases.
func (j *Detector) Tick(now clock.Time) {
	for _, t := range j.targets {
		j.countOverdue(t, now)
		j.advance(t, now)
	}
}

// AttemptsPastDeadline returns the number of a target's attempts that still run after their deadline.
func (j *Detector) AttemptsPastDeadline(id id.TargetID) int {
	t := j.target(id)
	if t == nil {
		return 0
	}
	return t.attemptsPastDeadline()
}

// target returns one of the gate's targets, or nil.
func (j *Detector) target(id id.TargetID) *target {
	for _, t := range j.targets {
		if t.id == id {
			return t
		}
	}
	return nil
}

// baselineLatency returns the median latency of the service's other targets; zero when unknown.
func (j *Detector) baselineLatency(t *target) time.Duration {
	var latencies []time.Duration
	for _, p := range j.services[t.service].peers {
		if p.Latency > 0 {
			latencies = append(latencies, p.Latency)
		}
	}
	for _, other := range j.targets {
		if other != t && other.service == t.service && other.evidence.latency > 0 {
			latencies = append(latencies, time.Duration(other.evidence.latency*float64(time.Second)))
		}
	}
	return median(latencies)
}

// baselineErrorRate returns the error rate that counts as normal: the median of the service's other
// targets, within bounds.
func (j *Detector) baselineErrorRate(t *target) float64 {
	var rates []float64
	for _, p := range j.services[t.service].peers {
		rates = append(rates, p.ErrorRate)
	}
	for _, other := range j.targets {
		if other != t && other.service == t.service {
			rates = append(rates, other.evidence.errorRate)
		}
	}
	return min(maxBaselineErrorRate, max(minBaselineErrorRate, median(rates)))
}

// stillOutlier reports whether an ejected target is still worse than the current baseline. When a
// service slows down as a whole, its first slow targets are ejected before the baseline rises.
func (j *Detector) stillOutlier(t *target) bool {
	if t.evidence.errorRate > max(outlierErrorRate, 2*j.baselineErrorRate(t)) {
		return true
	}
	base := j.baselineLatency(t)
	return base == 0 || t.evidence.latency > outlierLatencyFactor*base.Seconds()
}

const (
	// outlierErrorRate is the average error rate above which an ejection is kept.
	outlierErrorRate = 0.1
	// outlierLatencyFactor is the multiple of the baseline latency above which it is kept. It is below
	// SlowFactor, because the average includes only a few slow requests when the target is ejected.
	outlierLatencyFactor = 1.5
)

// serviceFailingErrorRate is the baseline error rate from which a service counts as failing as a whole.
const serviceFailingErrorRate = 0.3

// serviceWide reports whether the problem concerns the service as a whole: more than half of its
// targets are suspect, ejected or in trial, or the baseline error rate is that of a failing service.
func (j *Detector) serviceWide(t *target) bool {
	total, bad := 0, 0
	for _, p := range j.services[t.service].peers {
		total++
		if p.Unhealthy {
			bad++
		}
	}
	for _, other := range j.targets {
		if other.service == t.service {
			total++
			if other.state != healthy {
				bad++
			}
		}
	}
	return 2*bad > total || j.baselineErrorRate(t) >= serviceFailingErrorRate
}
