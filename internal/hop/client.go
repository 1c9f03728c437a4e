package hop

import (
	"context"
	"net/http"
	"net/url"
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// Client sends attempts to peers. It is safe for concurrent use.
type Client struct {
	config Config
	clock  clock.Clock
	// peers maps addresses to *peer, so that the cost of a call does not depend on their number.
	peers sync.Map
}

// NewClient returns a client without connections.
func NewClient(config Config, clk clock.Clock) *Client {
	return &Client{config: config.withDefaults(), clock: clk}
}

// ObserveClock records a clock reading that arrived by another way, for example by gossip. at is the local
// time before which the peer read its clock.
func (c *Client) ObserveClock(address string, reading GateClock, at clock.Time) {
	c.peer(address).reading.Store(&clockReading{clock: reading, at: at})
}

// Forget closes the unused connections to a peer that left.
func (c *Client) Forget(address string) {
	if p, ok := c.peers.LoadAndDelete(address); ok {
		p.(*peer).transport.Load().CloseIdleConnections()
	}
}

// Close closes all unused connections.
func (c *Client) Close() {
	c.peers.Range(func(address, _ any) bool {
		c.Forget(address.(string))
		return true
	})
}

// Do sends one attempt and returns a response that echoes its id. The error is a *BrokenError.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	p := c.peer(call.Peer)
	stamp, err := c.stamp(ctx, p, call.Expiry)
	if err != nil {
		return nil, &BrokenError{Peer: call.Peer, Err: err}
	}
	call.Request.ValidUntil = stamp
	call.Request.Encode(call.Header)
	_, hasKey := call.Header["Authorization"]
	invariant.Check(!hasKey, "no-key-in-hop", "attempt %v carries a key", call.Request.Attempt)
	return c.send(ctx, p, call)
}

// send runs the exchange under a watch for progress.
func (c *Client) send(ctx context.Context, p *peer, call Call) (*Answer, error) {
	x := newExchange(ctx, c, p, call.Request.ValidUntil.Incarnation)
	response, err := p.transportOf(x).RoundTrip(x.request(c.scheme(), call))
	if err != nil {
		return nil, x.fail(err)
	}
	answer, err := x.accept(response, call)
	if err != nil {
		_ = response.Body.Close()
		return nil, x.fail(err)
	}
	return answer, nil
}

// transportOf returns the peer's current transport and remembers it for the exchange.
func (p *peer) transportOf(x *exchange) *http.Transport {
	x.transport = p.transport.Load()
	return x.transport
}

// peer returns the peer at an address.
func (c *Client) peer(address string) *peer {
	if p, ok := c.peers.Load(address); ok {
		return p.(*peer)
	}
	p, _ := c.peers.LoadOrStore(address, newPeer(address, &c.config))
	return p.(*peer)
}

// scheme returns the URL scheme for peers.
func (c *Client) scheme() string {
	if c.config.TLS != nil {
		return "https"
	}
	return "http"
}

// url returns a URL at a peer.
func (c *Client) url(p *peer, path string) *url.URL {
	return &url.URL{Scheme: c.scheme(), Host: p.address, Path: path}
}
