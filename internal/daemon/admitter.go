package daemon

import (
	"context"
	"errors"
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/gossip"
	"buckthornlatch.example/buckthornlatch/internal/grants"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/problem"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// admitter adapts the grants service to the entry.
type admitter struct {
	grants *grants.Service
	limits *limits
	gossip *gossip.Service
	clock  clock.Clock
}

// Admit implements entry.Admitter.
func (a *admitter) Admit(ctx context.Context, customer id.CustomerID) (entry.Admission, error) {
	admission, err := a.grants.Admit(ctx, customer)
	if err == nil {
		return entry.Admission{ValidFor: admission.ValidFor}, nil
	}
	var denied *ratelimit.DeniedError
	if !errors.As(err, &denied) {
		return entry.Admission{}, &entry.Refusal{Code: problem.DeadlineTooShort}
	}
	refusal := &entry.Refusal{Code: problem.RateExceeded, RetryAfter: denied.RetryAfter}
	if denied.Unreachable || !a.allHomesAvailable(customer) {
		// The customer may not have used its full rate, so "rate exceeded" would be wrong.
		refusal.Code = problem.RateUnconfirmed
	}
	return entry.Admission{}, refusal
}

// allHomesAvailable reports whether every rate-limit home of the customer is known and not
// suspected, and this host's duties are confirmed if it is one of the homes. The share of a
// missing home is not granted, so the customer then gets less than its rate.
func (a *admitter) allHomesAvailable(customer id.CustomerID) bool {
	homes := a.limits.Homes(customer)
	now := a.clock.Now()
	available := len(homes) > 0
	a.gossip.View(func(t *membership.Table) {
		for _, home := range homes {
			available = available && t.Record(home) != nil && !t.Suspected(home, now)
		}
	})
	if slices.Contains(homes, a.limits.self) {
		available = available && a.limits.duties.Confirmed(now)
	}
	return available
}
