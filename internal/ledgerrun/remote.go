package ledgerrun

import (
	"context"
	"io"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	ledgerpb "buckthornlatch.example/buckthornlatch/rpc/ledger"
)

const (
	// callTries is the maximum number of times that a call to another daemon is made.
	callTries = 3
	// maxHolders is the maximum number of daemons that are tried one after the other when each
	// reports that it handed the records over.
	maxHolders = 3
)

// beginCall has the arguments of a Begin at another daemon.
type beginCall struct {
	customer    id.CustomerID
	ticket      string
	fingerprint string
}

// beginRemote calls the daemons that may hold the ticket's records until one decides.
func (r *Runner) beginRemote(ctx context.Context, at ledger.Location, holders []id.HostID, c beginCall) (ledger.Decision, error) {
	d := ledger.Decision{Kind: ledger.IssuerLost}
	for _, holder := range holders {
		last := r.followBegin(ctx, holder, at, c)
		if err := ctx.Err(); err != nil {
			if last.Kind == ledger.Run {
				r.Finish(context.WithoutCancel(ctx), last.Claim, ledger.NotRun(ledger.NeverDispatched))
			}
			return ledger.Decision{}, err
		}
		if last.Kind != ledger.Unreachable && last.Kind != ledger.IssuerLost {
			return last, nil
		}
		// A holder that does not respond may have the records, so Unreachable takes precedence
		// over IssuerLost.
		if d.Kind != ledger.Unreachable {
			d = last
		}
	}
	return d, nil
}

// followBegin decides a send at a daemon. If the records were handed over, it follows them to the
// receiver, up to maxHolders daemons in total.
func (r *Runner) followBegin(ctx context.Context, holder id.HostID, at ledger.Location, c beginCall) ledger.Decision {
	for range maxHolders {
		if holder == r.self {
			d, local := r.beginLocal(at, c.customer, c.ticket, c.fingerprint)
			if !local {
				return ledger.Decision{Kind: ledger.IssuerLost}
			}
			return d
		}
		d := r.callBegin(ctx, holder, at, c)
		if d.Kind != ledger.HandedOver || d.At.Host == "" {
			return d
		}
		holder = d.At.Host
	}
	return ledger.Decision{Kind: ledger.HandedOver}
}

// callBegin calls Begin at one daemon. If that fails, it sends a Cancel in the background.
func (r *Runner) callBegin(ctx context.Context, holder id.HostID, at ledger.Location, c beginCall) ledger.Decision {
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
	err = r.callWithRetries(ctx, func(ctx context.Context) (err error) {
		answer, err = peer.Begin(ctx, request)
		return err
	})
	if err != nil {
		r.callInBackground(func(ctx context.Context) error {
			_, err := peer.Cancel(ctx, &ledgerpb.CancelRequest{Token: k[:]})
			return err
		})
		return unreachable
	}
	return decodeDecision(answer, at, c.ticket)
}

// callWithRetries makes a call and repeats it after an error, at most callTries times and not after
// ctx has ended.
func (r *Runner) callWithRetries(ctx context.Context, call func(context.Context) error) error {
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

// callInBackground makes a call with retries in the background. It drops the call if too many are in
// progress.
func (r *Runner) callInBackground(call func(context.Context) error) {
	select {
	case r.backgroundSem <- struct{}{}:
	default:
		return
	}
	r.pending.Add(1)
	r.background(func() {
		defer r.pending.Done()
		defer func() { <-r.backgroundSem }()
		_ = r.callWithRetries(context.Background(), call)
	})
}
