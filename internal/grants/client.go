package grants

import (
	"context"
	"errors"
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
	rpc "buckthornlatch.example/buckthornlatch/rpc/grants"
)

// stepExchange names the failed operation in errors.
const stepExchange = "exchange rate-limit tokens"

var (
	errNoAddress  = errors.New("host has no known address")
	errReplyCount = errors.New("number of replies does not match number of requests")
)

// client calls the homes on other hosts.
type client struct {
	peers Peers
	http  rpc.HTTPClient
	mu    sync.Mutex
	stubs map[string]rpc.Grants
}

// newClient returns a client that creates its stubs on demand.
func newClient(peers Peers, http rpc.HTTPClient) *client {
	return &client{peers: peers, http: http, stubs: map[string]rpc.Grants{}}
}

// exchange sends requests to one home and returns the replies in the same
// order. Errors are of type *fault.Error.
func (c *client) exchange(ctx context.Context, home id.HostID, requests []ratelimit.Request) ([]ratelimit.Reply, error) {
	base, known := c.peers.BaseURL(home)
	if !known {
		return nil, fault.New(stepExchange, string(home), errNoAddress)
	}
	in := &rpc.ExchangeRequest{}
	for _, r := range requests {
		in.Requests = append(in.Requests, requestToWire(r))
	}
	out, err := c.stub(base).Exchange(ctx, in)
	if err != nil {
		return nil, fault.New(stepExchange, string(home), err)
	}
	if len(out.GetReplies()) != len(requests) {
		return nil, fault.New(stepExchange, string(home), errReplyCount)
	}
	var replies []ratelimit.Reply
	for _, r := range out.GetReplies() {
		replies = append(replies, replyFromWire(r))
	}
	return replies, nil
}

// maxStubs bounds the number of stubs, which are kept also for addresses no longer in
// use. All are dropped when it is reached.
const maxStubs = 1024

// stub returns the twirp client for a base URL.
func (c *client) stub(base string) rpc.Grants {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.stubs[base]; s != nil {
		return s
	}
	if len(c.stubs) >= maxStubs {
		clear(c.stubs)
	}
	s := rpc.NewGrantsProtobufClient(base, c.http)
	c.stubs[base] = s
	return s
}
