package gossip

import (
	"context"

	"github.com/twitchtv/twirp"

	rpc "buckthornlatch.example/buckthornlatch/rpc/gossip"
)

// server implements rpc.Gossip.
type server struct {
	service *Service
}

// Exchange implements rpc.Gossip.
func (h *server) Exchange(_ context.Context, req *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	if req.GetSender() == nil {
		return nil, twirp.RequiredArgumentError("sender")
	}
	s := h.service
	s.mu.Lock()
	res := s.table.HandleRequest(decodeRequest(req), s.config.Clock.Now())
	s.mu.Unlock()
	s.notify()
	return encodeResponse(res), nil
}

// Push implements rpc.Gossip.
func (h *server) Push(_ context.Context, req *rpc.PushRequest) (*rpc.PushResponse, error) {
	if req.GetSender() == nil {
		return nil, twirp.RequiredArgumentError("sender")
	}
	s := h.service
	s.mu.Lock()
	sender := s.table.HandlePush(decodePush(req), s.config.Clock.Now())
	s.mu.Unlock()
	s.notify()
	return &rpc.PushResponse{Sender: encodeSender(sender)}, nil
}
