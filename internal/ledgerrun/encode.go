package ledgerrun

import (
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	ledgerpb "buckthornlatch.example/buckthornlatch/rpc/ledger"
)

// encodeResponse converts a recorded response to a message.
func encodeResponse(r ledger.Response) *ledgerpb.Response {
	m := &ledgerpb.Response{Status: uint32(r.Status), Body: r.Body}
	for name, values := range r.Header {
		m.Header = append(m.Header, &ledgerpb.HeaderField{Name: name, Values: values})
	}
	return m
}

// decodeResponse converts a message, which may be nil, to a recorded response.
func decodeResponse(m *ledgerpb.Response) ledger.Response {
	if m == nil {
		return ledger.Response{}
	}
	r := ledger.Response{Status: int(m.Status), Body: m.Body}
	if len(m.Header) > 0 {
		r.Header = make(http.Header, len(m.Header))
	}
	for _, f := range m.Header {
		r.Header[f.Name] = f.Values
	}
	return r
}

// encodeDecision converts a decision to a message.
func encodeDecision(d ledger.Decision) *ledgerpb.BeginResponse {
	return &ledgerpb.BeginResponse{
		Kind: uint32(d.Kind), Serial: d.Claim.Serial, Response: encodeResponse(d.Response), Host: string(d.At.Host),
	}
}

// decodeDecision converts a message to the decision about a ticket.
func decodeDecision(m *ledgerpb.BeginResponse, at ledger.Location, ticket string) ledger.Decision {
	d := ledger.Decision{Kind: ledger.Kind(m.Kind)}
	switch d.Kind {
	case ledger.Run:
		t, err := ledger.Parse(ticket)
		if err != nil {
			return ledger.Decision{Kind: ledger.Invalid}
		}
		d.Claim = ledger.ClaimID{At: at, Key: t.Random, Serial: m.Serial}
	case ledger.Replay, ledger.RanNotKept:
		d.Response = decodeResponse(m.Response)
	case ledger.HandedOver:
		d.At = ledger.Location{Host: id.HostID(m.Host), Epoch: at.Epoch}
	case ledger.Forward:
		// Not expected, because a peer decides with the ledger at the ticket's own location. It is
		// treated like a peer that does not have the records.
		return ledger.Decision{Kind: ledger.IssuerLost}
	}
	return d
}
