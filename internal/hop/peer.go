package hop

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// clockReading is a peer's clock and the local time before which it was read.
type clockReading struct {
	clock GateClock
	at    clock.Time
}

// peer holds the connections to one daemon and the last reading of its clock.
type peer struct {
	address   string
	config    *Config
	transport atomic.Pointer[http.Transport]
	reading   atomic.Pointer[clockReading]
}

// newPeer returns a peer without connections.
func newPeer(address string, config *Config) *peer {
	p := &peer{address: address, config: config}
	p.transport.Store(p.newTransport())
	return p
}

// suspect abandons all connections of a transport on which a connection went silent. Others of the same
// path may be silent too, and a new connection tells a silent connection from a silent peer.
func (p *peer) suspect(old *http.Transport) {
	if p.transport.CompareAndSwap(old, p.newTransport()) {
		old.CloseIdleConnections()
	}
}

// newTransport returns an HTTP/1.1 transport; the guard needs one request at a time per connection.
func (p *peer) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            p.dial,
		DialTLSContext:         p.dialTLS,
		DisableCompression:     true,
		ExpectContinueTimeout:  MaxRemaining,
		IdleConnTimeout:        p.config.IdleTimeout,
		MaxIdleConnsPerHost:    p.config.IdlePerPeer,
		MaxResponseHeaderBytes: maxResponseHeader,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

// maxResponseHeader bounds the header of a response in bytes.
const maxResponseHeader = 256 << 10

// dial opens a guarded TCP connection.
func (p *peer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := p.dialTCP(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return Guard(conn), nil
}

// dialTCP opens a TCP connection.
func (p *peer) dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: p.config.DialTimeout}
	return dialer.DialContext(ctx, network, address)
}

// dialTLS opens a guarded TLS connection. The guard is outermost, so that the handshake does not count as sent.
func (p *peer) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancel()
	raw, err := p.dialTCP(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(raw, p.tlsConfig(address))
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return Guard(conn), nil
}

// tlsConfig returns the current configuration with the peer's host as server name when it names none.
func (p *peer) tlsConfig(address string) *tls.Config {
	config := p.config.TLS()
	if config.ServerName != "" {
		return config
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return config
	}
	config = config.Clone()
	config.ServerName = host
	return config
}
