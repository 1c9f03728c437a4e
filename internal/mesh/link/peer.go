package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
)

const (
	// dialTimeout bounds connecting to another host. It is many round trips between failure domains; a lost opening
	// packet would be sent again only after a second, which is too late.
	dialTimeout = 500 * time.Millisecond
	// peerIdle is how long an unused connection to another host is kept.
	peerIdle = 15 * time.Second
	// maxPeerIdle bounds the unused connections to one host.
	maxPeerIdle = 8
	// probeIdle, probeInterval and probeCount let the kernel find a connection that went silent while an attempt
	// runs, within about three seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// peer holds the connections to one host.
type peer struct {
	address   string
	transport atomic.Pointer[http.Transport]
}

// newPeer returns a peer without connections.
func newPeer(address string) *peer {
	p := &peer{address: address}
	p.transport.Store(newTransport())
	return p
}

// renew replaces the connections after one of them went silent, since the others took the same way.
func (p *peer) renew(used *http.Transport) {
	if p.transport.CompareAndSwap(used, newTransport()) {
		used.CloseIdleConnections()
	}
}

// Dialer returns a dialer whose connections notice within about three seconds that the other end went silent.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
}

// newTransport returns an HTTP/1.1 transport for attempts.
func newTransport() *http.Transport {
	dialer := Dialer()
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return hop.Guard(conn), nil
		},
		DisableCompression:  true,
		IdleConnTimeout:     peerIdle,
		MaxIdleConnsPerHost: maxPeerIdle,
		// The body waits until the gate asks for it; the attempt's context bounds the wait.
		ExpectContinueTimeout: time.Hour,
		ReadBufferSize:        bufferSize,
		WriteBufferSize:       bufferSize,
		TLSNextProto:          map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

// bufferSize is the size of a connection's buffers in bytes. Most attempts and answers fit.
const bufferSize = 2 << 10
