package daemon

import (
	"crypto/tls"
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/settings"
	"buckthornlatch.example/buckthornlatch/internal/tlsconfig"
)

// tlsReloadPeriod is the time between two checks of the TLS files.
const tlsReloadPeriod = 10 * time.Second

// provisionTLS loads the daemon's certificate and the peers' CA. Without TLS files it does
// nothing.
func (d *Daemon) provisionTLS() error {
	if !d.settings.TLS.Enabled() {
		return nil
	}
	source, err := tlsconfig.New(tlsFiles(d.settings.TLS), d.settings.TLS.PeerName, d.log)
	if err != nil {
		return fault.New("load identity", "", err)
	}
	d.identity = source
	return nil
}

// tlsFiles returns the TLS files in the settings.
func tlsFiles(s settings.TLS) tlsconfig.Files {
	return tlsconfig.Files{Certificate: s.CertFile, Key: s.KeyFile, CA: s.PeerCAFile}
}

// callerTLS returns the configuration for callers and operators; nil without TLS.
func (d *Daemon) callerTLS() *tls.Config {
	if d.identity == nil {
		return nil
	}
	return d.identity.CallerServer()
}

// peerTLS returns the configuration for other daemons' connections; nil without TLS.
func (d *Daemon) peerTLS() *tls.Config {
	if d.identity == nil {
		return nil
	}
	return d.identity.PeerServer()
}

// hopTLS returns the source of configurations for attempts; nil without TLS.
func (d *Daemon) hopTLS() func() *tls.Config {
	if d.identity == nil {
		return nil
	}
	return d.identity.PeerClient
}

// controlTransport returns the transport for control messages to peers. Each connection uses the
// certificate that is current when it is opened.
func (d *Daemon) controlTransport() *http.Transport {
	transport := newTransport()
	if d.identity != nil {
		transport.DialTLSContext = (&peerDialer{identity: d.identity.PeerClient}).dial
	}
	return transport
}

// newTransport returns a transport that keeps few idle connections.
func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: idleControlConnections,
		IdleConnTimeout:     idleControlTimeout,
	}
}
