package grants

import (
	"context"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	rpc "buckthornlatch.example/buckthornlatch/rpc/grants"
)

// maxRequests bounds the requests of one call.
const maxRequests = 256

// server answers calls of other daemons from the own home.
type server struct {
	clock  clock.Clock
	holder *Holder
}

// Exchange implements the twirp service. Requests above maxRequests are left unanswered.
func (s *server) Exchange(_ context.Context, in *rpc.ExchangeRequest) (*rpc.ExchangeReply, error) {
	out := &rpc.ExchangeReply{}
	for i, r := range in.GetRequests() {
		if i == maxRequests {
			break
		}
		out.Replies = append(out.Replies, replyToWire(s.holder.exchange(s.clock.Now(), requestFromWire(r))))
	}
	return out, nil
}
