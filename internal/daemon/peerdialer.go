package daemon

import (
	"context"
	"crypto/tls"
	"net"
)

// peerDialer opens TLS connections to peers.
type peerDialer struct {
	// identity returns the configuration for the next connection.
	identity func() *tls.Config
}

// dial connects and completes the handshake within ctx.
func (p *peerDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &tls.Dialer{Config: p.identity()}
	return dialer.DialContext(ctx, network, address)
}
