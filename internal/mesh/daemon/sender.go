package daemon

import (
	"context"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/gate"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/statesync"
)

// sender makes attempts at the local gate directly and at other gates over the network.
type sender struct {
	self   id.HostID
	gate   *gate.Gate
	client *link.Client
	syncer *statesync.Syncer
}

// Send implements entry.Sender.
func (s *sender) Send(ctx context.Context, host id.HostID, a *link.Attempt, signals link.Signals) *link.Result {
	if host == s.self {
		own := *a
		own.Header = a.Header.Clone()
		return s.gate.Do(ctx, &own, signals)
	}
	result := s.client.Send(ctx, host, a, signals)
	s.syncer.ObservePolicyVersion(host, result.Policy)
	return result
}
