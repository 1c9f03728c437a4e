package ledgerrun

import (
	"context"
	"io"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	ledgerpb "buckthornlatch.example/buckthornlatch/rpc/ledger"
)

const (
	// callTries is the number of times that a call to another daemon is made.
	callTries = 3
	// maxHops bounds how often a ticket is followed from one holder to the next.
	maxHops = 3
)

// beginCall is a send that another daemon decides.
type beginCall struct {
	customer    id.CustomerID
	ticket      string
	fingerprint string
}

// beginThere asks the daemons that may hold the ticket's records until one decides.
func (r *Runner) beginThere(ctx context.Context, at ledger.Location, holders []id.HostID, c beginCall) (ledger.Decision, error) {
	d := ledger.Decision{Kind: ledger.IssuerLost}
	for _, holder := range holders {
		last := r.follow(ctx, holder, at, c)
		if err := ctx.Err(); err != nil {
			if last.Kind == ledger.Run {
				r.Finish(context.WithoutCancel(ctx), last.Claim, ledger.NotRun(ledger.NeverDispatched))
			}
			return ledger.Decision{}, err
		}
		if last.Kind != ledger.Unreachable && last.Kind != ledger.IssuerLost {
			return last, nil
		}
		// A holder that does not answer may have the records: the issuer is not known to be lost.
		if d.Kind != ledger.Unreachable {
			d = last
		}
	}
	return d, nil
}

// follow asks a daemon, and those to which it says that the records moved.
func (r *Runner) follow(ctx context.Context, holder id.HostID, at ledger.Location, c beginCall) ledger.Decision {
	for range maxHops {
		if holder == r.self {
			d, here := r.beginHere(at, c.customer, c.ticket, c.fingerprint)
			if !here {
				return ledger.Decision{Kind: ledger.IssuerLost}
			}
			return d
		}
		d := r.askHolder(ctx, holder, at, c)
		if d.Kind != ledger.HandedOver || d.At.Host == "" {
			return d
		}
		holder = d.At.Host
	}
	return ledger.Decision{Kind: ledger.HandedOver}
}

// askHolder calls Begin at one daemon. Without an answer it cancels the call.
func (r *Runner) askHolder(ctx context.Context, holder id.HostID, at ledger.Location, c beginCall) ledger.Decision {
	unreachable := ledger.Decision{Kind: ledger.Unreachable}
	peer, err := r.dial(holder)
	if err != nil {
		return unreachable
	}
	var k token
	if _, err := io.ReadFull(r.random, k[:]); err != nil {
		return unreachable
	}
	request := &ledgerpb.BeginRequest{
		Customer: string(c.customer), Ticket: c.ticket, Fingerprint: c.fingerprint, Token: k[:],
	}
	var answer *ledgerpb.BeginResponse
	err = r.try(ctx, func(ctx context.Context) (err error) {
		answer, err = peer.Begin(ctx, request)
		return err
	})
	if err != nil {
		r.later(func(ctx context.Context) error {
			_, err := peer.Cancel(ctx, &ledgerpb.CancelRequest{Token: k[:]})
			return err
		})
		return unreachable
	}
	return decodeDecision(answer, at, c.ticket)
}

// try repeats a call that got no answer.
func (r *Runner) try(ctx context.Context, call func(context.Context) error) error {
	var err error
	for range callTries {
		bounded, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
		err = call(bounded)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// later makes a call in the background, unless too many are in progress.
func (r *Runner) later(call func(context.Context) error) {
	select {
	case r.slots <- struct{}{}:
	default:
		return
	}
	r.pending.Add(1)
	r.background(func() {
		defer r.pending.Done()
		defer func() { <-r.slots }()
		_ = r.try(context.Background(), call)
	})
}
