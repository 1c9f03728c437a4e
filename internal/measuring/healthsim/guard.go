package healthsim

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// guard decides about one gate's target.
type guard interface {
	observe(o ejection.Observation)
	eligible(now clock.Time) ejection.Eligibility
	// published returns what the record says about the target.
	published(now clock.Time) (membership.TargetState, membership.TargetSummary)
	// out reports whether the target is out of service.
	out(now clock.Time) bool
	// suspected reports whether the target's weight is lowered or it is out.
	suspected(now clock.Time) bool
}

// judged is the project's policy.
type judged struct {
	judge  *ejection.Detector
	target id.TargetID
}

func (g *judged) observe(o ejection.Observation) { g.judge.Observe(o) }

func (g *judged) eligible(now clock.Time) ejection.Eligibility {
	return g.judge.Eligible(g.target, now)
}

func (g *judged) published(now clock.Time) (membership.TargetState, membership.TargetSummary) {
	return g.judge.Summary(g.target, now)
}

func (g *judged) out(now clock.Time) bool { return g.judge.EjectedUnderPermit(g.target, now) }

func (g *judged) suspected(now clock.Time) bool {
	_, summary := g.judge.Summary(g.target, now)
	return summary.Suspected || g.out(now)
}

// unguarded is the baseline without ejection.
type unguarded struct{}

func (unguarded) observe(ejection.Observation) {}

func (unguarded) eligible(clock.Time) ejection.Eligibility {
	return ejection.Eligibility{Admit: true, Weight: 1}
}

func (unguarded) published(clock.Time) (membership.TargetState, membership.TargetSummary) {
	return membership.TargetServing, membership.TargetSummary{}
}

func (unguarded) out(clock.Time) bool { return false }

func (unguarded) suspected(clock.Time) bool { return false }
