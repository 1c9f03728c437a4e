package ejection

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Judge judges the targets of one gate. It is not safe for concurrent use.
type Judge struct {
	holder   Holder
	policy   Policy
	targets  []*target
	services map[id.ServiceName]*service
	releases []Release
	// number counts the permit requests; it never restarts, so that a late release cannot match a newer permit.
	number uint64
}

// NewJudge returns a judge without targets. holder identifies the gate process.
func NewJudge(holder Holder, policy Policy) *Judge {
	return &Judge{holder: holder, policy: policy, services: make(map[id.ServiceName]*service)}
}

// Announce adds a target, with a slow ramp. A known target starts anew.
func (j *Judge) Announce(t id.TargetID, name id.ServiceName, now clock.Time) {
	j.Withdraw(t, now)
	if j.services[name] == nil {
		j.services[name] = &service{}
	}
	j.targets = append(j.targets, &target{id: t, service: name, rampFrom: now, ramping: true})
}

// Withdraw removes a target that left or whose announcements stopped.
func (j *Judge) Withdraw(t id.TargetID, now clock.Time) {
	for i, known := range j.targets {
		if known.id == t {
			j.release(known, true, now)
			j.targets = append(j.targets[:i], j.targets[i+1:]...)
			return
		}
	}
}

// SetPeers replaces what is known of the service's targets on other hosts. Peers whose host is
// suspected should be left out.
func (j *Judge) SetPeers(name id.ServiceName, peers []Peer) {
	if j.services[name] == nil {
		j.services[name] = &service{}
	}
	j.services[name].peers = peers
}

// Eligible returns what work a target may get now. Unknown targets get none.
func (j *Judge) Eligible(id id.TargetID, now clock.Time) Eligibility {
	t := j.target(id)
	if t == nil {
		return Eligibility{}
	}
	j.advance(t, now)
	switch t.state {
	case ejected:
		return Eligibility{}
	case trial:
		return Eligibility{Admit: !t.trialRunning, IdempotentOnly: true, Weight: j.policy.RampFloor}
	case suspect:
		return Eligibility{Admit: true, Weight: j.policy.SuspectWeight * t.rampWeight(j.policy, now)}
	case healthy:
	}
	return Eligibility{Admit: true, Weight: t.rampWeight(j.policy, now)}
}

// Tick lets time pass for all targets: overdue requests, holds and leases.
func (j *Judge) Tick(now clock.Time) {
	for _, t := range j.targets {
		j.countOverdue(t, now)
		j.advance(t, now)
	}
}

// LostSlots returns the number of a target's attempts that are beyond their deadline and have not ended.
func (j *Judge) LostSlots(id id.TargetID) int {
	t := j.target(id)
	if t == nil {
		return 0
	}
	return t.lostSlots()
}

// target returns one of the gate's targets, or nil.
func (j *Judge) target(id id.TargetID) *target {
	for _, t := range j.targets {
		if t.id == id {
			return t
		}
	}
	return nil
}

// baseLatency is the median latency of the service's other targets; zero when unknown.
func (j *Judge) baseLatency(t *target) time.Duration {
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

// baseErrors is the error rate that counts as normal: the median of the service's other targets.
func (j *Judge) baseErrors(t *target) float64 {
	var rates []float64
	for _, p := range j.services[t.service].peers {
		rates = append(rates, p.ErrorRate)
	}
	for _, other := range j.targets {
		if other != t && other.service == t.service {
			rates = append(rates, other.evidence.errorRate)
		}
	}
	return min(maxErrorBase, max(minErrorBase, median(rates)))
}

// justified reports whether an ejected target still looks worse than the service's other targets
// do by now. When a service slows down, the first targets that show it are blamed too early.
func (j *Judge) justified(t *target) bool {
	if t.evidence.errorRate > max(justifiedErrors, 2*j.baseErrors(t)) {
		return true
	}
	base := j.baseLatency(t)
	return base == 0 || t.evidence.latency > justifiedSlowness*base.Seconds()
}

const (
	// justifiedErrors is the least average error rate that justifies an ejection.
	justifiedErrors = 0.1
	// justifiedSlowness is the multiple of the others' latency that does. It is below SlowFactor,
	// because the average has seen only a few slow requests when the target is ejected.
	justifiedSlowness = 1.5
)

// failingService is the median error rate of the others from which a service fails as a whole.
const failingService = 0.3

// serviceWide reports whether more than half of the service's targets look bad, or fail much of
// their work without a difference between them.
func (j *Judge) serviceWide(t *target) bool {
	total, bad := 0, 0
	for _, p := range j.services[t.service].peers {
		total++
		if p.Bad {
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
	return 2*bad > total || j.baseErrors(t) >= failingService
}
