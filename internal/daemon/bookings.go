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

// bookings adapts the ledgers to the entry's non-idempotent requests.
type bookings struct {
	runner *ledgerrun.Runner

	mu     sync.Mutex
	claims map[entry.ClaimID]ledger.ClaimID
	last   uint64
}

// newBookings returns an adapter without claims.
func newBookings(runner *ledgerrun.Runner) *bookings {
	return &bookings{runner: runner, claims: make(map[entry.ClaimID]ledger.ClaimID)}
}

// Issue implements entry.Tickets.
func (b *bookings) Issue(customer id.CustomerID, count int) ([]string, error) {
	tickets, err := b.runner.Issue(customer, count)
	var notIssued *ledgerrun.NotIssuedError
	if errors.As(err, &notIssued) {
		return nil, &entry.Refusal{Code: problem.TicketsUnavailable, Detail: notIssued.Reason}
	}
	return tickets, err
}

// Begin implements entry.Ledger.
func (b *bookings) Begin(ctx context.Context, customer id.CustomerID, key, fingerprint string) (entry.Decision, error) {
	decided, err := b.runner.Begin(ctx, customer, key, fingerprint)
	if err != nil {
		return entry.Decision{}, err
	}
	switch decided.Kind {
	case ledger.Run:
		return entry.Decision{Kind: entry.Run, Claim: b.keep(decided.Claim)}, nil
	case ledger.Replay:
		return entry.Decision{Kind: entry.Replay, Recorded: entry.Recorded{
			Status: decided.Response.Status,
			Header: decided.Response.Header,
			Body:   decided.Response.Body,
		}}, nil
	default:
		return entry.Decision{}, refusalOf(decided)
	}
}

// refusalOf converts a decision that neither runs the request nor replays its answer.
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

// keep stores a claim until Finish and returns the entry's name for it.
func (b *bookings) keep(claim ledger.ClaimID) entry.ClaimID {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last++
	name := entry.ClaimID(strconv.FormatUint(b.last, 36))
	b.claims[name] = claim
	return name
}

// Finish implements entry.Ledger.
func (b *bookings) Finish(ctx context.Context, name entry.ClaimID, outcome entry.Outcome) {
	b.mu.Lock()
	claim, ok := b.claims[name]
	delete(b.claims, name)
	b.mu.Unlock()
	if ok {
		b.runner.Finish(ctx, claim, ledgerOutcome(outcome))
	}
}

// ledgerOutcome converts the end of a run.
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
		return ledger.RanWithoutAnswer(outcome.Recorded.Status)
	default:
		return ledger.UnknownOutcome()
	}
}
