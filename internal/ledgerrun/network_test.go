package ledgerrun_test

import (
	"context"
	"errors"

	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/id"
	handoverpb "buckthornlatch.example/buckthornlatch/rpc/handover"
	ledgerpb "buckthornlatch.example/buckthornlatch/rpc/ledger"
)

var errNetwork = errors.New("fake network fault")

// network carries calls between the processes of a cluster and loses, repeats and delays them.
type network struct {
	cluster *cluster
	// t draws the faults; nil means no faults.
	t *rapid.T
	// nested is set while interleave runs during a call.
	nested bool
	// delayed has the calls that will arrive after their caller received an error.
	delayed []func()
}

// call makes one call to the process that is current on a host when the call arrives.
func call[Request, Response any](n *network, to id.HostID, request Request, f func(*process, Request) (Response, error)) (Response, error) {
	var none Response
	deliver := func() (Response, error) {
		p := n.cluster.current[to]
		if p == nil || p.paused {
			return none, errNetwork
		}
		return f(p, request)
	}
	fault := 0
	if n.t != nil {
		fault = rapid.IntRange(0, 9).Draw(n.t, "call to "+string(to))
	}
	if fault >= 8 && !n.nested {
		n.nested = true
		n.cluster.interleave(n.t, to)
		n.nested = false
	}
	switch fault {
	case 4:
		return none, errNetwork
	case 5:
		_, _ = deliver()
		return none, errNetwork
	case 6:
		_, _ = deliver()
	case 7:
		n.delayed = append(n.delayed, func() { _, _ = deliver() })
		return none, errNetwork
	}
	return deliver()
}

// peer is the client of one host.
type peer struct {
	n  *network
	to id.HostID
}

var (
	_ handoverpb.Handover = handoverPeer{}
	_ ledgerpb.Tickets    = ticketPeer{}
)

type handoverPeer peer

func (c handoverPeer) Offer(ctx context.Context, m *handoverpb.OfferRequest) (*handoverpb.OfferResponse, error) {
	return call(c.n, c.to, m, func(p *process, m *handoverpb.OfferRequest) (*handoverpb.OfferResponse, error) {
		return p.handover.Offer(ctx, m)
	})
}

func (c handoverPeer) Send(ctx context.Context, m *handoverpb.SendRequest) (*handoverpb.SendResponse, error) {
	return call(c.n, c.to, m, func(p *process, m *handoverpb.SendRequest) (*handoverpb.SendResponse, error) {
		return p.handover.Send(ctx, m)
	})
}

func (c handoverPeer) Complete(ctx context.Context, m *handoverpb.CompleteRequest) (*handoverpb.CompleteResponse, error) {
	return call(c.n, c.to, m, func(p *process, m *handoverpb.CompleteRequest) (*handoverpb.CompleteResponse, error) {
		return p.handover.Complete(ctx, m)
	})
}

func (c handoverPeer) Abort(ctx context.Context, m *handoverpb.AbortRequest) (*handoverpb.AbortResponse, error) {
	return call(c.n, c.to, m, func(p *process, m *handoverpb.AbortRequest) (*handoverpb.AbortResponse, error) {
		return p.handover.Abort(ctx, m)
	})
}

func (c handoverPeer) Return(ctx context.Context, m *handoverpb.ReturnRequest) (*handoverpb.ReturnResponse, error) {
	return call(c.n, c.to, m, func(p *process, m *handoverpb.ReturnRequest) (*handoverpb.ReturnResponse, error) {
		return p.handover.Return(ctx, m)
	})
}

type ticketPeer peer

func (c ticketPeer) Begin(ctx context.Context, m *ledgerpb.BeginRequest) (*ledgerpb.BeginResponse, error) {
	return call(c.n, c.to, m, func(p *process, m *ledgerpb.BeginRequest) (*ledgerpb.BeginResponse, error) {
		return p.tickets.Begin(ctx, m)
	})
}

func (c ticketPeer) Cancel(ctx context.Context, m *ledgerpb.CancelRequest) (*ledgerpb.CancelResponse, error) {
	return call(c.n, c.to, m, func(p *process, m *ledgerpb.CancelRequest) (*ledgerpb.CancelResponse, error) {
		return p.tickets.Cancel(ctx, m)
	})
}

func (c ticketPeer) Finish(ctx context.Context, m *ledgerpb.FinishRequest) (*ledgerpb.FinishResponse, error) {
	return call(c.n, c.to, m, func(p *process, m *ledgerpb.FinishRequest) (*ledgerpb.FinishResponse, error) {
		return p.tickets.Finish(ctx, m)
	})
}
