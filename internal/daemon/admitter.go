package daemon

import (
	"context"
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/grants"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// admitter adapts the grants service to the entry.
type admitter struct {
	grants *grants.Service
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
	if denied.Unreachable {
		// The rate may not be used up, so "rate exceeded" would be untrue.
		refusal.Code = problem.RateUnconfirmed
	}
	return entry.Admission{}, refusal
}
