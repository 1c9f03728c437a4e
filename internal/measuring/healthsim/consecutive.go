package healthsim

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

const (
	// consecutiveErrors and consecutiveHold are usual settings of proxies that eject this way.
	consecutiveErrors = 5
	consecutiveHold   = 30 * time.Second
)

// consecutive is the baseline that ejects after errors in a row, without permits.
type consecutive struct {
	errors int
	until  clock.Time
}

func (g *consecutive) observe(o ejection.Observation) {
	switch o.Kind {
	case ejection.Succeeded:
		g.errors = 0
	case ejection.TargetError, ejection.StalledNew, ejection.Refused:
		g.errors++
		if g.errors >= consecutiveErrors {
			g.errors = 0
			g.until = o.At.Add(consecutiveHold)
		}
	case ejection.Started, ejection.RequestError, ejection.StalledReused, ejection.Cancelled:
	}
}

func (g *consecutive) eligible(now clock.Time) ejection.Eligibility {
	return ejection.Eligibility{Admit: !g.out(now), Weight: 1}
}

func (g *consecutive) published(now clock.Time) (membership.TargetState, membership.TargetSummary) {
	if g.out(now) {
		return membership.TargetEjected, membership.TargetSummary{}
	}
	return membership.TargetServing, membership.TargetSummary{}
}

func (g *consecutive) out(now clock.Time) bool { return now.Before(g.until) }

func (g *consecutive) suspected(now clock.Time) bool { return g.out(now) }
