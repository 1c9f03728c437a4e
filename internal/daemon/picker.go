package daemon

import (
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/balancer"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/gossip"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/problem"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
)

// picker adapts the balancer and the quarantine's isolation to the entry.
type picker struct {
	balancer   *balancer.Shared
	quarantine *quarantine.Shared
	gossip     *gossip.Service
	clock      clock.Clock
}

// Pick implements entry.Picker.
func (p *picker) Pick(service id.ServiceName, exclude []id.TargetID, idempotent bool) (entry.Candidate, bool) {
	choose := p.balancer.Pick
	if idempotent {
		choose = p.balancer.PickIdempotent
	}
	candidate, ok := choose(service, exclude)
	return entry.Candidate{Target: candidate.Target, Gate: candidate.Address}, ok
}

// PickIsolated implements entry.Picker. It scans all targets that gossip reported, which is acceptable
// because only suspected requests are isolated.
func (p *picker) PickIsolated(service id.ServiceName, fingerprint string) (entry.Candidate, bool) {
	gates := make(map[id.TargetID]string)
	var candidates []id.TargetID
	p.gossip.View(func(t *membership.Table) {
		now := p.clock.Now()
		for _, record := range t.Records() {
			if t.Suspected(record.Host, now) {
				continue
			}
			for _, target := range record.Targets {
				if target.Service == service && target.State == membership.TargetServing {
					name := id.TargetID{Host: record.Host, Name: target.Name}
					gates[name] = record.Addresses.Hop
					candidates = append(candidates, name)
				}
			}
		}
	})
	target, ok := p.quarantine.IsolationTarget(fingerprint, candidates)
	return entry.Candidate{Target: target, Gate: gates[target]}, ok
}

// Report implements entry.Picker.
func (p *picker) Report(f entry.Feedback) {
	feedback := balancer.Feedback{
		Target:  f.Candidate.Target,
		Result:  resultOf(f),
		Latency: f.Latency,
	}
	if f.LoadKnown {
		feedback.Load = &balancer.Load{FreeSlots: f.Load.FreeSlots, QueueLength: f.Load.Queued}
	}
	p.balancer.Report(feedback)
	if f.Kind == entry.Declined && f.Reason == problem.Draining {
		// A draining gate refuses attempts for all of its targets.
		p.balancer.ReportPath(f.Candidate.Target.Host, false)
	}
}

// resultOf converts the entry's feedback.
func resultOf(f entry.Feedback) balancer.Result {
	switch f.Kind {
	case entry.Answered:
		if f.Status >= http.StatusInternalServerError {
			return balancer.TargetFailed
		}
		return balancer.Completed
	case entry.Declined:
		return balancer.Refused
	case entry.PathFailed:
		return balancer.ConnectFailed
	case entry.PathStalled:
		return balancer.Stalled
	default:
		return balancer.TargetFailed
	}
}
