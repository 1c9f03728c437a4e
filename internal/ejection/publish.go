package ejection

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

const (
	// publishEvery is the least time between two small changes of a published summary.
	publishEvery = time.Minute
	// publishSteps is the change of the coarse latency that is published at once, about a factor of 1.6.
	publishSteps = 2
	// errorStep is the resolution of the published error rate in percent.
	errorStep = 10
)

// published is the summary that was published last.
type published struct {
	summary membership.TargetSummary
	at      clock.Time
	any     bool
}

// Summary returns what the host's record should say about a target. It changes at once when the
// judgement or the level of work changes, and otherwise at most once per minute.
func (j *Judge) Summary(id id.TargetID, now clock.Time) (membership.TargetState, membership.TargetSummary) {
	t := j.target(id)
	if t == nil {
		return membership.TargetDraining, membership.TargetSummary{}
	}
	j.advance(t, now)
	current := membership.TargetSummary{
		Latency:      membership.NewCoarseLatency(time.Duration(t.evidence.latency * float64(time.Second))),
		ErrorPercent: uint8(errorStep * int(100*t.evidence.errorRate/errorStep+0.5)),
		Suspected:    t.state == suspect,
	}
	if t.published.due(current, now) {
		t.published = published{current, now, true}
	}
	return publishedStates[t.state], t.published.summary
}

// publishedStates are the record's states of the judge's states.
var publishedStates = [...]membership.TargetState{
	healthy: membership.TargetServing,
	suspect: membership.TargetServing,
	ejected: membership.TargetEjected,
	trial:   membership.TargetTrial,
}

// due reports whether a summary should replace the published one.
func (p *published) due(s membership.TargetSummary, now clock.Time) bool {
	if s == p.summary {
		return false
	}
	latencySteps := int(s.Latency) - int(p.summary.Latency)
	errorSteps := int(s.ErrorPercent) - int(p.summary.ErrorPercent)
	jump := max(latencySteps, -latencySteps) >= publishSteps || max(errorSteps, -errorSteps) > errorStep
	return !p.any || jump || s.Suspected != p.summary.Suspected || now.Sub(p.at) >= publishEvery
}
