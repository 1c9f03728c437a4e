package platform

import (
	"context"
	"net"
	"net/http"
	"path"
	"time"

	"github.com/twitchtv/twirp"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	engine "buckthornlatch.example/buckthornlatch/internal/platform"
	rpc "buckthornlatch.example/buckthornlatch/rpc/platform"
)

const (
	// headerTimeout bounds the reading of request headers.
	headerTimeout = 5 * time.Second
	// stopTimeout bounds the wait for calls in flight when the server stops.
	stopTimeout = 2 * time.Second
)

// Server is the stand-in platform. It implements http.Handler.
type Server struct {
	switches *switchboard
	service  http.Handler
	mux      *http.ServeMux
}

// New returns a server over the engine. The seed decides which responses are lost.
func New(memory *engine.Memory, seed uint64) *Server {
	s := &Server{switches: newSwitchboard(seed), mux: http.NewServeMux()}
	s.service = rpc.NewPlatformServer(engine.NewServer(memory.Table(), memory.Objects()))
	s.mux.HandleFunc(rpc.PlatformPathPrefix, s.serveCall)
	s.mux.HandleFunc("GET "+controlPath, s.serveGetFaults)
	s.mux.HandleFunc("PUT "+controlPath, s.servePutFaults)
	return s
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.switches.set(f)
}

// Counts returns the calls so far.
func (s *Server) Counts() Counts {
	_, counts := s.switches.get()
	return counts
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Serve answers calls on the listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	stopped := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = server.Shutdown(bounded)
	})
	defer stopped()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return fault.New("serve platform emulator", listener.Addr().String(), err)
}

// serveCall answers one platform call subject to the faults.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	faults, _ := s.switches.get()
	if !clock.Sleep(r.Context(), faults.delay()) {
		panic(http.ErrAbortHandler)
	}
	switch s.switches.admit(isWrite(r)) {
	case refusedDown:
		_ = twirp.WriteError(w, twirp.NewError(twirp.Unavailable, "platform is down"))
	case refusedLimit:
		_ = twirp.WriteError(w, twirp.NewError(twirp.ResourceExhausted, "platform limit exceeded"))
	case proceedAndLose:
		s.service.ServeHTTP(discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	case proceed:
		s.service.ServeHTTP(w, r)
	}
}

// isWrite reports whether the call changes state.
func isWrite(r *http.Request) bool {
	method := path.Base(r.URL.Path)
	return method == "Commit" || method == "PutObject"
}
