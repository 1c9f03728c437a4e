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
	// peers maps addresses to *peer. The cost of a call does not depend on the number of peers.
	peers sync.Map
}

// NewClient returns a client without connections.
func NewClient(config Config, clk clock.Clock) *Client {
	return &Client{config: config.withDefaults(), clock: clk}
}

// ObserveClock records a clock reading that arrived other than in a response, for example by gossip. at is a
// local time at or after the moment when the peer read its clock.
func (c *Client) ObserveClock(address string, reading GateClock, at clock.Time) {
	c.peer(address).reading.Store(&clockReading{clock: reading, at: at})
}

// RemovePeer removes a peer that left and closes the unused connections to it.
func (c *Client) RemovePeer(address string) {
	if p, ok := c.peers.LoadAndDelete(address); ok {
		p.(*peer).transport.Load().CloseIdleConnections()
	}
}

// Close removes all peers and closes their unused connections.
func (c *Client) Close() {
	c.peers.Range(func(address, _ any) bool {
		c.RemovePeer(address.(string))
		return true
	})
}

// Do sends one attempt and returns the response, which must echo the attempt id. The error is a *BrokenError.
func (c *Client) Do(ctx context.Context, call Call) (*AttemptResponse, error) {
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

// send sends the request and checks the response, under a watchdog for progress.
func (c *Client) send(ctx context.Context, p *peer, call Call) (*AttemptResponse, error) {
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

// transportOf returns the peer's current transport and records it in the exchange.
func (p *peer) transportOf(x *exchange) *http.Transport {
	x.transport = p.transport.Load()
	return x.transport
}

// peer returns the peer at an address and creates it if needed.
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
