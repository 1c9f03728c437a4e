package gossip

import (
	"context"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	rpc "buckthornlatch.example/buckthornlatch/rpc/gossip"
)

// exchange runs one exchange with the peer at an address; host is empty when only a seed address is known.
func (s *Service) exchange(ctx context.Context, host id.HostID, address string) {
	push, retry, peer := s.exchangeOnce(ctx, host, address, false)
	if retry {
		push, _, peer = s.exchangeOnce(ctx, host, address, true)
	}
	if push != nil {
		s.send(ctx, peer, address, *push)
	}
}

// exchangeOnce sends one request and merges its response. It returns the peer's host name.
func (s *Service) exchangeOnce(ctx context.Context, host id.HostID, address string, keyed bool) (*membership.Push, bool, id.HostID) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Timeout)
	defer cancel()
	s.mu.Lock()
	startedAt := s.config.Clock.Now()
	req := s.table.NewRequest(host, keyed, startedAt)
	s.mu.Unlock()
	res, err := s.client(address).Exchange(ctx, encodeRequest(req))
	if err == nil && res.GetSender() == nil {
		err = errNoSender
	}
	s.noteContact(host, err)
	if err != nil {
		s.logFailure("exchange", address, err)
		return nil, false, host
	}
	decoded := decodeResponse(res)
	s.mu.Lock()
	push, retry := s.table.HandleResponse(decoded, startedAt, s.config.Clock.Now())
	s.mu.Unlock()
	s.notify()
	return push, retry, decoded.Sender.Host
}

// send pushes records to a peer.
func (s *Service) send(ctx context.Context, host id.HostID, address string, push membership.Push) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Timeout)
	defer cancel()
	res, err := s.client(address).Push(ctx, encodePush(push))
	s.noteContact(host, err)
	if err != nil {
		s.logFailure("push", address, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.HandlePushReply(decodeSender(res.GetSender()), s.config.Clock.Now())
}

// client returns a twirp client for an address. All of them share the connections of the HTTP client.
func (s *Service) client(address string) rpc.Gossip {
	return rpc.NewGossipProtobufClient(s.config.Scheme+"://"+address, s.config.Client)
}

// noteContact records the result of a call as direct evidence about the path to the host.
func (s *Service) noteContact(host id.HostID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.NoteContact(host, err == nil, s.now())
}

func (s *Service) now() clock.Time {
	return s.config.Clock.Now()
}

func (s *Service) logFailure(step, address string, err error) {
	s.config.Log.Debug().Err(fault.New(step, address, err)).Msg("gossip: call failed")
}
