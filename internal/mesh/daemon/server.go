package daemon

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/mesh/connlimit"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup"
	"buckthornlatch.example/buckthornlatch/internal/mesh/limits"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/statesync"
)

// Names of the servers, for logs.
const (
	callersServer = "callers"
	peersServer   = "peers"
	targetsServer = "targets"
	probesServer  = "probes"
	metricsServer = "metrics"
)

// server is an HTTP server with its listener.
type server struct {
	name     string
	listener net.Listener
	guard    *connlimit.Guard
	http     *http.Server
}

// listen opens the listeners.
func (d *Daemon) listen() error {
	for _, s := range []struct {
		name, address string
		handler       http.Handler
	}{
		{callersServer, d.config.Callers, d.front},
		{peersServer, d.config.Peers, d.peerHandler()},
		{targetsServer, d.config.Targets, d.config.TargetHandler(d)},
		{probesServer, d.config.Probes, d.config.ProbeHandler(d.ready)},
		{metricsServer, d.config.Metrics, d.exporter.Handler},
	} {
		if s.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return fault.New("listen for "+s.name, s.address, err)
		}
		guard := d.newGuard(s.name)
		listener = guard.Accepting(listener)
		server := &server{name: s.name, listener: listener, guard: guard, http: &http.Server{
			// Otherwise net/http answers "OPTIONS *" itself.
			DisableGeneralOptionsHandler: true,
			// The guard enforces the limits on heads and on idle connections. These are above all that it allows.
			Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxServerHeader,
			ErrorLog: log.New(serverLog{name: s.name, log: d.config.Loggers.Events}, "", 0),
		}}
		switch s.name {
		case callersServer:
			server.listener, server.http.ConnContext, server.http.ConnState = d.front.Listener(listener), d.front.ConnContext, d.front.ConnState
		case peersServer:
			server.http.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
				return withPeerConn(hangup.WithConn(ctx, conn), conn)
			}
			server.http.ConnState = d.answers.connState
		}
		guard.Attach(server.http)
		d.servers = append(d.servers, server)
	}
	return nil
}

// peerHandler returns the handler for other hosts: attempts, token grants and the shared state.
func (d *Daemon) peerHandler() http.Handler {
	grants := d.limits.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header[link.HeaderAttempt] != nil:
			d.answers.begin(r.Context())
			d.gate.ServeHTTP(w, r)
		case r.URL.Path == statesync.StatePath, r.URL.Path == statesync.RosterPath:
			d.syncer.ServeHTTP(w, r)
		case len(r.URL.Path) > len(limits.Path) && r.URL.Path[:len(limits.Path)] == limits.Path:
			grants.ServeHTTP(w, r)
		default:
			http.NotFound(w, r)
		}
	})
}

// serve serves until the server is closed.
func (s *server) serve() error {
	err := s.http.Serve(s.guard.Reading(s.listener))
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fault.New("serve "+s.name, s.listener.Addr().String(), err)
}

// stopAccepting closes the listener. Open connections are served on.
func (s *server) stopAccepting(events zerolog.Logger) {
	if err := s.listener.Close(); err != nil {
		events.Warn().Err(err).Str("server", s.name).Msg("daemon: listener not closed")
	}
}

// close closes the server at once.
func (s *server) close() {
	_ = s.http.Close()
}
