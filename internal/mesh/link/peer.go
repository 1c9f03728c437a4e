package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/traffic"
)

const (
	// dialTimeout bounds connecting to another host. It is many round trips between failure domains; a lost SYN would be
	// retransmitted only after a second, which is too late.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an idle connection to another host is kept.
	idleTimeout = 15 * time.Second
	// maxIdleConns bounds the idle connections to one host.
	maxIdleConns = 8
	// keepAliveIdle, keepAliveInterval and keepAliveCount let the kernel detect a dead connection within about three
	// seconds while an attempt runs.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// peer holds the connections to one host.
type peer struct {
	address   string
	meter     *traffic.Meter
	transport atomic.Pointer[http.Transport]
}

// newPeer returns a peer with a new transport.
func newPeer(address string, meter *traffic.Meter) *peer {
	p := &peer{address: address, meter: meter}
	p.transport.Store(newTransport(meter))
	return p
}

// replaceTransport makes later attempts use new connections after one connection got no reply, because the others use
// the same path. It does nothing if used was already replaced.
func (p *peer) replaceTransport(used *http.Transport) {
	if p.transport.CompareAndSwap(used, newTransport(p.meter)) {
		used.CloseIdleConnections()
	}
}

// Dialer returns a dialer whose connections detect by keep-alive, within about three seconds, that the peer is
// unreachable.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
}

// newTransport returns an HTTP/1.1 transport for attempts, whose connections are counted unless meter is nil.
func newTransport(meter *traffic.Meter) *http.Transport {
	dialer := Dialer()
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if meter != nil {
				conn = meter.Conn(conn, id.HostID(address))
			}
			return hop.Guard(conn), nil
		},
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdleConns,
		// The body is held back until the gate requests it; the attempt's context bounds the wait.
		ExpectContinueTimeout: time.Hour,
		ReadBufferSize:        bufferSize,
		// The gate bounds the head of a target's response, to which it adds a line.
		MaxResponseHeaderBytes: 128 << 10,
		WriteBufferSize:        bufferSize,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

// bufferSize is the size of a connection's buffers in bytes. Most attempts and responses fit.
const bufferSize = 2 << 10
