package hop

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// clockReading is a reading of a peer's clock; at is a local time at or after the moment of the reading.
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

// replaceTransport abandons all connections of a transport after one of them stalled. Others on the same network
// path may have stalled too, and a new connection distinguishes a stalled connection from an unresponsive peer.
func (p *peer) replaceTransport(old *http.Transport) {
	if p.transport.CompareAndSwap(old, p.newTransport()) {
		old.CloseIdleConnections()
	}
}

// newTransport returns an HTTP/1.1 transport. Guarded connections carry one request at a time, which excludes
// HTTP/2.
func (p *peer) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            p.dial,
		DialTLSContext:         p.dialTLS,
		DisableCompression:     true,
		ExpectContinueTimeout:  MaxRemaining,
		IdleConnTimeout:        p.config.IdleTimeout,
		MaxIdleConnsPerHost:    p.config.IdlePerPeer,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

const (
	// MaxTargetHeadBytes bounds the head of a target's response in bytes.
	MaxTargetHeadBytes = 256 << 10
	// maxResponseHeaderBytes bounds the head of a gate's response. The entry must accept each head that the gate accepts
	// from a target: the gate writes short lines with up to two bytes more than the target, and adds hop headers.
	maxResponseHeaderBytes = 2*MaxTargetHeadBytes + 16<<10
)

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

// dialTLS opens a guarded TLS connection. The guard wraps the TLS connection, so that handshake bytes do not count
// as sent.
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

// tlsConfig returns the current configuration. If it has no server name, the peer's host is used.
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
