package ledgerrun

import (
	"context"

	"github.com/twitchtv/twirp"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	ledgerpb "buckthornlatch.example/buckthornlatch/rpc/ledger"
)

// Server serves the ledgers of this daemon to other daemons. It implements the Twirp service Tickets.
type Server struct {
	runner *Runner
}

var _ ledgerpb.Tickets = (*Server)(nil)

// NewServer returns the service for the ledgers of r.
func NewServer(r *Runner) *Server {
	return &Server{runner: r}
}

// Begin implements ledgerpb.Tickets.
func (s *Server) Begin(_ context.Context, m *ledgerpb.BeginRequest) (*ledgerpb.BeginResponse, error) {
	if len(m.Token) != len(token{}) {
		return nil, twirp.InvalidArgumentError("token", "has a wrong length")
	}
	return encodeDecision(s.runner.beginForPeer(token(m.Token), beginCall{
		customer: id.CustomerID(m.Customer), ticket: m.Ticket, fingerprint: m.Fingerprint,
	})), nil
}

// beginForPeer decides a send that arrived at another daemon. A repeated call with the token of a
// Run gets the same decision; with the token of a cancelled call it never gets Run.
func (r *Runner) beginForPeer(k token, c beginCall) ledger.Decision {
	t, err := ledger.Parse(c.ticket)
	if err != nil {
		return ledger.Decision{Kind: ledger.Invalid}
	}
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, known := r.recentCalls.entries[k]; known {
		if e.cancelled {
			return ledger.Decision{Kind: ledger.Unreachable}
		}
		return e.decision
	}
	if r.recentCalls.full(now) {
		return ledger.Decision{Kind: ledger.Unreachable}
	}
	h := r.ledgers[ledger.Location{Host: t.Host, Epoch: t.Epoch}]
	if h == nil {
		return ledger.Decision{Kind: ledger.IssuerLost}
	}
	d := h.begin(c.customer, c.ticket, c.fingerprint)
	if d.Kind == ledger.Run {
		r.recentCalls.set(k, callResult{decision: d}, now)
	}
	return d
}

// Cancel implements ledgerpb.Tickets.
func (s *Server) Cancel(_ context.Context, m *ledgerpb.CancelRequest) (*ledgerpb.CancelResponse, error) {
	if len(m.Token) != len(token{}) {
		return nil, twirp.InvalidArgumentError("token", "has a wrong length")
	}
	s.runner.cancelForPeer(token(m.Token))
	return &ledgerpb.CancelResponse{}, nil
}

// cancelForPeer releases the claim of a call of Begin whose caller dispatched nothing. If the call has
// not arrived yet, it will not get Run.
func (r *Runner) cancelForPeer(k token) {
	r.mu.Lock()
	e := r.recentCalls.entries[k]
	r.recentCalls.set(k, callResult{cancelled: true}, r.clock.Now())
	r.mu.Unlock()
	if e.decision.Kind == ledger.Run {
		r.Finish(context.Background(), e.decision.Claim, ledger.NotRun(ledger.NeverDispatched))
	}
}

// Finish implements ledgerpb.Tickets.
func (s *Server) Finish(_ context.Context, m *ledgerpb.FinishRequest) (*ledgerpb.FinishResponse, error) {
	claim := ledger.ClaimID{
		At:     ledger.Location{Host: id.HostID(m.Slot), Epoch: id.Epoch(m.Epoch)},
		Serial: m.Serial,
	}
	if len(m.Key) != len(claim.Key) {
		return nil, twirp.InvalidArgumentError("key", "has a wrong length")
	}
	copy(claim.Key[:], m.Key)
	h := s.runner.find(claim.At)
	if h == nil {
		return &ledgerpb.FinishResponse{Result: uint32(ledger.Ignored)}, nil
	}
	result, receiver := h.finish(claim, ledger.Outcome{
		Result: ledger.Result(m.Result), Proof: ledger.Proof(m.Proof), Response: decodeResponse(m.Response),
	})
	return &ledgerpb.FinishResponse{Result: uint32(result), Host: string(receiver)}, nil
}
