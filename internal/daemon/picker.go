package daemon

import (
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/balancer"
	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// picker adapts the balancer to the entry.
type picker struct {
	balancer *balancer.Shared
}

// Pick implements entry.Picker.
func (p *picker) Pick(service id.ServiceName, exclude []id.TargetID) (entry.Candidate, bool) {
	candidate, ok := p.balancer.Pick(service, exclude)
	return entry.Candidate{Target: candidate.Target, Gate: candidate.Address}, ok
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
}

// resultOf converts an entry's observation.
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
	case entry.PathSilent:
		return balancer.Silent
	default:
		return balancer.TargetFailed
	}
}
