package grants

import (
	"context"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	rpc "buckthornlatch.example/buckthornlatch/rpc/grants"
)

// maxRequests bounds the number of requests in one call.
const maxRequests = 256

// server serves the calls of other daemons to this daemon's home.
type server struct {
	clock  clock.Clock
	holder *HomeHolder
}

// Exchange implements the twirp service. Requests beyond maxRequests get no reply.
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
