package daemon

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup"
	"buckthornlatch.example/buckthornlatch/internal/mesh/limits"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/statesync"
)

const (
	// headerTimeout bounds the time to receive a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes idle connections. It is longer than the longest time for which callers are told that they may
	// reuse a connection, so that no request is sent on a connection that is being closed.
	idleTimeout = 90 * time.Second
	// MaxHeaderBytes bounds the size of a request's header in bytes.
	MaxHeaderBytes = 64 << 10
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
		server := &server{name: s.name, listener: listener, http: &http.Server{
			// Otherwise net/http answers "OPTIONS *" itself.
			DisableGeneralOptionsHandler: true,
			Handler:                      s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: MaxHeaderBytes,
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
	err := s.http.Serve(s.listener)
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
