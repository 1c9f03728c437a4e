package daemon

import (
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"

	"buckthornlatch.example/buckthornlatch/internal/admin"
	"buckthornlatch.example/buckthornlatch/internal/catalogsync"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/ledgerrun"
	"buckthornlatch.example/buckthornlatch/internal/mesh/memaccount"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
	rpccatalogue "buckthornlatch.example/buckthornlatch/rpc/catalogue"
	"buckthornlatch.example/buckthornlatch/rpc/fate"
	rpcgrants "buckthornlatch.example/buckthornlatch/rpc/grants"
	rpchandover "buckthornlatch.example/buckthornlatch/rpc/handover"
	rpcledger "buckthornlatch.example/buckthornlatch/rpc/ledger"
	rpcpermits "buckthornlatch.example/buckthornlatch/rpc/permits"
)

// servers returns the daemon's HTTP servers.
func (d *Daemon) servers() []*server {
	return []*server{
		d.server(memaccount.Callers, d.listeners.caller, d.callerTLS(), d.metrics.Handler(d.entry)),
		d.server(memaccount.Peers, d.listeners.peer, d.peerTLS(), d.peerHandler()),
		d.server(memaccount.Targets, d.listeners.local, nil, d.localHandler()),
		d.server(memaccount.Operators, d.listeners.admin, d.callerTLS(), d.adminHandler()),
	}
}

// server returns one server with the timeouts and limits of the settings; without a TLS
// configuration it uses plain HTTP, whose heads are held back until they are whole.
func (d *Daemon) server(owner memaccount.Owner, listener net.Listener, tlsConfig *tls.Config, handler http.Handler) *server {
	guard := d.guard(owner)
	s := &server{name: owner.String(), listener: guard.Accepting(listener), http: &http.Server{
		Handler:           handler,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: d.settings.Timeouts.ReadHeader,
		IdleTimeout:       d.settings.Timeouts.Idle,
		MaxHeaderBytes:    d.settings.Limits.MaxHeaderBytes,
	}}
	if tlsConfig == nil {
		s.listener = guard.Reading(s.listener)
		guard.Attach(s.http)
	}
	return s
}

// peerHandler serves attempts and control messages.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(hop.Path, d.gate)
	mount(mux, fate.NewFateServer(gate.NewFateServer(d.gate)))
	mount(mux, rpccatalogue.NewSyncServer(catalogsync.NewServer(d.syncer.Replica)))
	mount(mux, rpcledger.NewTicketsServer(ledgerrun.NewServer(d.tickets)))
	mount(mux, rpchandover.NewHandoverServer(d.handoverReceiver))
	mux.Handle(rpcpermits.PermitsPathPrefix, d.permitHome.Handler())
	mux.Handle(rpcgrants.GrantsPathPrefix, d.grants.Handler())
	mux.Handle("/", d.gossip.Handler())
	return mux
}

// twirpServer is a generated server with its path.
type twirpServer interface {
	http.Handler
	PathPrefix() string
}

var _ twirpServer = fate.TwirpServer(nil)

// mount adds a twirp server to a mux.
func mount(mux *http.ServeMux, server twirpServer) {
	mux.Handle(server.PathPrefix(), server)
}

// localHandler serves the host's own targets.
func (d *Daemon) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(targetapi.AnnouncePath, d.gate.Announce)
	return mux
}

// adminHandler serves operators.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(admin.PathPrefix, admin.NewHandler(d.admin, d.credentials()))
	mux.HandleFunc("/healthz", d.healthz)
	mux.HandleFunc("/readyz", d.readyz)
	mux.HandleFunc("/status", d.status)
	if d.exporter.Handler != nil {
		mux.Handle("/metrics", d.exporter.Handler)
	}
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

// healthz reports that the process is running.
func (d *Daemon) healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

// readyz reports whether callers should send requests here.
func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case d.state.draining.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case !d.fresh.verdict().Fresh(d.clock.Now()):
		http.Error(w, "keys cannot be confirmed", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// status writes the daemon's state as JSON.
func (d *Daemon) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(d.Status())
}
