package daemon

import (
	"context"
	"crypto/rand"
	"strconv"
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// localLedger decides about this daemon's own tickets.
type localLedger struct {
	clock clock.Clock

	mu     sync.Mutex
	ledger *ledger.Ledger
	claims map[entry.ClaimID]ledger.ClaimID
	serial uint64
}

// newLocalLedger returns the empty ledger of an epoch.
func newLocalLedger(c clock.Clock, at ledger.Location) (*localLedger, error) {
	var secret ledger.Secret
	if _, err := rand.Read(secret[:]); err != nil {
		return nil, err
	}
	made, err := ledger.New(at, secret, ledger.DefaultSettings())
	if err != nil {
		return nil, err
	}
	return &localLedger{clock: c, ledger: made, claims: make(map[entry.ClaimID]ledger.ClaimID)}, nil
}

// Issue implements entry.Tickets.
func (l *localLedger) Issue(customer id.CustomerID, count int) ([]string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tickets := make([]string, 0, count)
	for range count {
		var random ledger.Random
		if _, err := rand.Read(random[:]); err != nil {
			return nil, err
		}
		ticket, err := l.ledger.Issue(customer, random, l.clock.Now())
		if err != nil {
			return nil, err
		}
		tickets = append(tickets, ticket)
	}
	return tickets, nil
}

// Begin implements entry.Ledger.
func (l *localLedger) Begin(_ context.Context, customer id.CustomerID, key, fingerprint string) (entry.Decision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decided := l.ledger.Begin(customer, key, fingerprint, l.clock.Now())
	switch decided.Kind {
	case ledger.Run:
		l.serial++
		claim := entry.ClaimID(strconv.FormatUint(l.serial, 10))
		l.claims[claim] = decided.Claim
		return entry.Decision{Kind: entry.Run, Claim: claim}, nil
	case ledger.Replay:
		recorded := entry.Recorded{
			Status: decided.Response.Status,
			Header: decided.Response.Header,
			Body:   decided.Response.Body,
		}
		return entry.Decision{Kind: entry.Replay, Recorded: recorded}, nil
	case ledger.RanNotKept:
		return entry.Decision{Kind: entry.NotKept}, nil
	case ledger.InProgress:
		return entry.Decision{Kind: entry.InProgress}, nil
	case ledger.Expired:
		return entry.Decision{Kind: entry.Expired, SendNotRun: true}, nil
	case ledger.Invalid:
		return entry.Decision{Kind: entry.Invalid}, nil
	case ledger.KeyReused:
		return entry.Decision{Kind: entry.KeyReused}, nil
	case ledger.Full:
		return entry.Decision{Kind: entry.StoreUnavailable}, nil
	case ledger.Forward:
		return entry.Decision{Kind: entry.IssuerLost, SendNotRun: true}, nil
	default:
		return entry.Decision{Kind: entry.Unknown, SendNotRun: true}, nil
	}
}

// Finish implements entry.Ledger.
func (l *localLedger) Finish(_ context.Context, claim entry.ClaimID, outcome entry.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decided, ok := l.claims[claim]
	if !ok {
		return
	}
	delete(l.claims, claim)
	l.ledger.Finish(decided, ledgerOutcome(outcome), l.clock.Now())
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
