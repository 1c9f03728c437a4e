package ejection

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

const (
	// minPublishInterval is the least time between two small changes of a published summary.
	minPublishInterval = time.Minute
	// latencyJumpSteps is the change of the coarse latency, in steps, that is published at once. It is
	// about a factor of 1.6.
	latencyJumpSteps = 2
	// errorPercentStep is the resolution of the published error rate in percent.
	errorPercentStep = 10
)

// published is the summary that was published last.
type published struct {
	summary membership.TargetSummary
	at      clock.Time
	exists  bool
}

// Summary returns the state and summary of a target for the host's record. The summary changes at
// once when the suspicion changes or an average changes much, and otherwise at most once per minute.
func (j *Detector) Summary(id id.TargetID, now clock.Time) (membership.TargetState, membership.TargetSummary) {
	t := j.target(id)
	if t == nil {
		return membership.TargetDraining, membership.TargetSummary{}
	}
	j.advance(t, now)
	current := membership.TargetSummary{
		Latency:      membership.NewCoarseLatency(time.Duration(t.evidence.latency * float64(time.Second))),
		ErrorPercent: uint8(errorPercentStep * int(100*t.evidence.errorRate/errorPercentStep+0.5)),
		Suspected:    t.state == suspect,
	}
	if t.published.due(current, now) {
		t.published = published{current, now, true}
	}
	return publishedStates[t.state], t.published.summary
}

// publishedStates maps a target's health to its state in the host's record.
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
	jump := max(latencySteps, -latencySteps) >= latencyJumpSteps || max(errorSteps, -errorSteps) > errorPercentStep
	return !p.exists || jump || s.Suspected != p.summary.Suspected || now.Sub(p.at) >= minPublishInterval
}
