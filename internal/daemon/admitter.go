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
	var denied *ratelimit.Denied
	if !errors.As(err, &denied) {
		return entry.Admission{}, &entry.Refusal{Code: problem.DeadlineTooShort}
	}
	refusal := &entry.Refusal{Code: problem.RateExceeded, RetryAfter: denied.RetryAfter}
	if denied.Unreachable || !a.allHomesWork(customer) {
		// The rate may not be used up, so "rate exceeded" would be untrue.
		refusal.Code = problem.RateUnconfirmed
	}
	return entry.Admission{}, refusal
}

// allHomesWork reports whether every home of the customer's rate is known to be
// running, and the own one confirmed. Without some the customer has less than its rate.
func (a *admitter) allHomesWork(customer id.CustomerID) bool {
	homes := a.limits.Homes(customer)
	now := a.clock.Now()
	work := len(homes) > 0
	a.gossip.View(func(t *membership.Table) {
		for _, home := range homes {
			work = work && t.Record(home) != nil && !t.Suspected(home, now)
		}
	})
	if slices.Contains(homes, a.limits.self) {
		work = work && a.limits.duties.Confirmed(now)
	}
	return work
}
