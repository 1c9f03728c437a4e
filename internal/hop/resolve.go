package hop

import (
	"context"
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/rpc/fate"
)

// Resolve queries a peer for the outcome of an attempt. A not-run result is final: the peer has blocked the
// attempt. The result is unknown if the peer process is not the one that the attempt was sent to. The caller must
// discard the result if the attempt was sent longer ago than the peer's retention.
func (c *Client) Resolve(
	ctx context.Context, address string, attempt id.AttemptID, incarnation id.Incarnation,
) (fate.Outcome, error) {
	p := c.peer(address)
	transport := p.transport.Load()
	ctx, cancel := context.WithTimeout(ctx, c.config.ProgressTimeout)
	defer cancel()
	client := fate.NewFateProtobufClient(c.scheme()+"://"+address, &http.Client{Transport: transport})
	response, err := client.Resolve(ctx, &fate.ResolveRequest{AttemptId: attempt.String(), Incarnation: uint64(incarnation)})
	if err != nil {
		p.replaceTransport(transport)
		return fate.Outcome_OUTCOME_UNKNOWN, fault.New("resolve attempt", address, err)
	}
	return response.GetOutcome(), nil
}
