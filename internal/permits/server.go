package permits

import (
	"context"
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/id"
	rpc "buckthornlatch.example/buckthornlatch/rpc/permits"
)

// Server handles the permit requests of gates. It is safe for concurrent use.
type Server struct {
	clock clock.Clock
	homes homes
}

// NewServer returns a server that acts as the home of the services whose duty is confirmed.
func NewServer(c clock.Clock, duty Duty, services Services) *Server {
	return &Server{
		clock: c,
		homes: homes{duty: duty, services: services, byName: make(map[id.ServiceName]*activeHome)},
	}
}

// Handler returns the HTTP handler, rooted at "/".
func (s *Server) Handler() http.Handler {
	return rpc.NewPermitsServer(s)
}

// Request implements rpc.Permits.
func (s *Server) Request(_ context.Context, in *rpc.PermitRequests) (*rpc.PermitReplies, error) {
	out := &rpc.PermitReplies{}
	for _, r := range in.GetRequests() {
		reply := s.homes.handle(decodeRequest(r), s.clock.Now())
		out.Replies = append(out.Replies, encodeReply(reply))
	}
	return out, nil
}

// Release implements rpc.Permits.
func (s *Server) Release(_ context.Context, in *rpc.PermitReleases) (*rpc.ReleaseReply, error) {
	for _, r := range in.GetReleases() {
		s.homes.release(decodeRelease(r))
	}
	return &rpc.ReleaseReply{}, nil
}

// request decides a request of this daemon's own gate, without an HTTP call.
func (s *Server) request(r ejection.Request) ejection.Reply {
	return s.homes.handle(r, s.clock.Now())
}
