package daemon

import (
	"context"
	"errors"
	"strconv"
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/ledgerrun"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// ledgerAdapter implements entry.Ledger and entry.Tickets with a ledgerrun.Runner.
type ledgerAdapter struct {
	runner *ledgerrun.Runner

	mu        sync.Mutex
	claims    map[entry.ClaimID]ledger.ClaimID
	lastClaim uint64
}

// newLedgerAdapter returns an adapter without claims.
func newLedgerAdapter(runner *ledgerrun.Runner) *ledgerAdapter {
	return &ledgerAdapter{runner: runner, claims: make(map[entry.ClaimID]ledger.ClaimID)}
}

// Issue implements entry.Tickets.
func (a *ledgerAdapter) Issue(customer id.CustomerID, count int) ([]string, error) {
	tickets, err := a.runner.Issue(customer, count)
	var notIssued *ledgerrun.NotIssuedError
	if errors.As(err, &notIssued) {
		return nil, &entry.Refusal{Code: problem.TicketsUnavailable, Detail: notIssued.Reason}
	}
	return tickets, err
}

// Begin implements entry.Ledger.
func (a *ledgerAdapter) Begin(ctx context.Context, customer id.CustomerID, key, fingerprint string) (entry.Decision, error) {
	decided, err := a.runner.Begin(ctx, customer, key, fingerprint)
	if err != nil {
		return entry.Decision{}, err
	}
	switch decided.Kind {
	case ledger.Run:
		return entry.Decision{Kind: entry.Run, Claim: a.storeClaim(decided.Claim)}, nil
	case ledger.Replay:
		return entry.Decision{Kind: entry.Replay, Recorded: entry.RecordedResponse{
			Status: decided.Response.Status,
			Header: decided.Response.Header,
			Body:   decided.Response.Body,
		}}, nil
	default:
		return entry.Decision{}, refusalOf(decided)
	}
}

// refusalOf converts a decision that neither runs the request nor replays its response.
func refusalOf(decided ledger.Decision) *entry.Refusal {
	details, ok := decided.Refusal()
	if !ok {
		return &entry.Refusal{Code: problem.IssuerLost, Run: problem.Unknown, Send: problem.NotRun}
	}
	return &entry.Refusal{
		Code:       details.Code,
		Run:        details.Run,
		Send:       details.Send,
		Detail:     details.Detail,
		RetryAfter: details.RetryAfter,
	}
}

// storeClaim stores a claim until Finish and returns the ID by which the entry refers to it.
func (a *ledgerAdapter) storeClaim(claim ledger.ClaimID) entry.ClaimID {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastClaim++
	name := entry.ClaimID(strconv.FormatUint(a.lastClaim, 36))
	a.claims[name] = claim
	return name
}

// Finish implements entry.Ledger.
func (a *ledgerAdapter) Finish(ctx context.Context, name entry.ClaimID, outcome entry.Outcome) {
	a.mu.Lock()
	claim, ok := a.claims[name]
	delete(a.claims, name)
	a.mu.Unlock()
	if ok {
		a.runner.Finish(ctx, claim, ledgerOutcome(outcome))
	}
}

// ledgerOutcome converts the outcome of a run.
func ledgerOutcome(outcome entry.Outcome) ledger.Outcome {
	switch {
	case outcome.Kind == entry.RunRefused:
		return ledger.NotRun(ledger.GateVerdict)
	case outcome.Kind == entry.RunAnswered && outcome.Kept:
		return ledger.Ran(ledger.Response{
			Status: outcome.Recorded.Status,
			Header: outcome.Recorded.Header,
			Body:   outcome.Recorded.Body,
		})
	case outcome.Kind == entry.RunAnswered:
		return ledger.RanWithoutResponse(outcome.Recorded.Status)
	default:
		return ledger.UnknownOutcome()
	}
}
