package permits

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/id"
	rpc "buckthornlatch.example/buckthornlatch/rpc/permits"
)

const (
	// tickEvery is the time between two looks at the judge.
	tickEvery = 50 * time.Millisecond
	// callTimeout bounds one call to a home.
	callTimeout = time.Second
)

// Config holds what a Client needs.
type Config struct {
	Clock     clock.Clock
	Judge     *ejection.Shared
	Placement Placement
	// Local answers for this daemon when Placement names OwnAddress; nil sends every request.
	Local      *Server
	OwnAddress string
	// HTTP sends the calls; its transport holds the TLS identity.
	HTTP *http.Client
	// Scheme is "https", or "http" in tests.
	Scheme string
	Log    zerolog.Logger
}

// Client sends the judge's requests and releases to the permit homes.
type Client struct {
	config Config
}

// NewClient returns a client; Run starts it.
func NewClient(config Config) *Client {
	if config.Scheme == "" {
		config.Scheme = "https"
	}
	return &Client{config: config}
}

// Run serves the judge until ctx ends, and returns after its calls have ended.
func (c *Client) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		c.tick(ctx, &group)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tick collects what is due and sends each message in its own goroutine, so that a home that
// does not answer delays no other.
func (c *Client) tick(ctx context.Context, group *sync.WaitGroup) {
	var requests []ejection.Request
	var releases []ejection.Release
	c.config.Judge.With(func(j *ejection.Judge) {
		now := c.config.Clock.Now()
		j.Tick(now)
		requests = j.Requests(now)
		releases = j.Releases()
	})
	for _, r := range requests {
		group.Go(func() { c.request(ctx, r) })
	}
	for _, r := range releases {
		group.Go(func() { c.release(ctx, r) })
	}
}

// request asks a home and hands the reply to the judge.
func (c *Client) request(ctx context.Context, r ejection.Request) {
	reply := c.ask(ctx, r)
	c.config.Judge.With(func(j *ejection.Judge) { j.HandleReply(reply, c.config.Clock.Now()) })
	if reply.Decision != ejection.Granted {
		c.config.Log.Debug().Stringer("target", r.Target).Stringer("decision", reply.Decision).Msg("permits: not granted")
	}
}

// ask returns the home's reply, or Unreachable.
func (c *Client) ask(ctx context.Context, r ejection.Request) ejection.Reply {
	unreachable := ejection.Reply{Target: r.Target, Number: r.Number, Decision: ejection.Unreachable}
	address, ok := c.config.Placement.Home(r.Service)
	if !ok {
		return unreachable
	}
	if c.isLocal(address) {
		return c.config.Local.request(r)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies, err := c.remote(address).Request(ctx, &rpc.PermitRequests{Requests: []*rpc.PermitRequest{encodeRequest(r)}})
	if err != nil || len(replies.GetReplies()) != 1 {
		c.logFailure("request permit", address, err)
		return unreachable
	}
	return decodeReply(replies.GetReplies()[0])
}

// release tells a home that a permit is not needed any more. It is not repeated: the lease ends by itself.
func (c *Client) release(ctx context.Context, r ejection.Release) {
	address, ok := c.config.Placement.Home(r.Service)
	if !ok {
		return
	}
	if c.isLocal(address) {
		c.config.Local.homes.release(r)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.remote(address).Release(ctx, &rpc.PermitReleases{Releases: []*rpc.PermitRelease{encodeRelease(r)}})
	c.logFailure("release permit", address, err)
}

// isLocal reports whether an address is this daemon's own.
func (c *Client) isLocal(address string) bool {
	return c.config.Local != nil && address == c.config.OwnAddress
}

// remote returns a twirp client for an address.
func (c *Client) remote(address string) rpc.Permits {
	return rpc.NewPermitsProtobufClient(c.config.Scheme+"://"+address, c.config.HTTP)
}

// logFailure logs a failed call; nil is no failure.
func (c *Client) logFailure(step, address string, err error) {
	if err != nil {
		c.config.Log.Debug().Err(fault.New(step, address, err)).Msg("permits: call failed")
	}
}

// targetID joins the wire form of a target.
func targetID(host, target string) id.TargetID {
	return id.TargetID{Host: id.HostID(host), Name: target}
}
