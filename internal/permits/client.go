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
	// tickInterval is the interval at which due requests and releases are collected from the judge.
	tickInterval = 50 * time.Millisecond
	// callTimeout limits one call to a home.
	callTimeout = time.Second
)

// Config holds the dependencies and settings of a Client.
type Config struct {
	Clock     clock.Clock
	Judge     *ejection.Shared
	Placement Placement
	// Local handles the calls for which Placement returns OwnAddress; if nil, every call is sent over HTTP.
	Local      *Server
	OwnAddress string
	// HTTP sends the calls; its transport holds the client certificate.
	HTTP *http.Client
	// Scheme is "https" if empty; tests use "http".
	Scheme string
	Log    zerolog.Logger
}

// Client sends the judge's requests and releases to the permit homes.
type Client struct {
	config Config
}

// NewClient returns a client that sends nothing before Run is called.
func NewClient(config Config) *Client {
	if config.Scheme == "" {
		config.Scheme = "https"
	}
	return &Client{config: config}
}

// Run sends the judge's requests and releases until ctx is done, and returns after all calls have ended.
func (c *Client) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(tickInterval)
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

// tick collects the due requests and releases and sends each in its own goroutine, so that an
// unresponsive home does not delay calls to other homes.
func (c *Client) tick(ctx context.Context, group *sync.WaitGroup) {
	var requests []ejection.Request
	var releases []ejection.Release
	c.config.Judge.With(func(j *ejection.Detector) {
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

// request sends a permit request to the home and passes the reply to the judge.
func (c *Client) request(ctx context.Context, r ejection.Request) {
	reply := c.callHome(ctx, r)
	c.config.Judge.With(func(j *ejection.Detector) { j.HandleReply(reply, c.config.Clock.Now()) })
	if reply.Decision != ejection.Granted {
		c.config.Log.Debug().Stringer("target", r.Target).Stringer("decision", reply.Decision).Msg("permits: request not granted")
	}
}

// callHome returns the home's reply, or one with the decision Unreachable.
func (c *Client) callHome(ctx context.Context, r ejection.Request) ejection.Reply {
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

// release returns a permit to its home. It is not retried, since the lease ends anyway.
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

// logFailure logs a failed call; it does nothing if err is nil.
func (c *Client) logFailure(step, address string, err error) {
	if err != nil {
		c.config.Log.Debug().Err(fault.New(step, address, err)).Msg("permits: call to permit home failed")
	}
}

// targetID returns the ID of a target from the host and name in a message.
func targetID(host, target string) id.TargetID {
	return id.TargetID{Host: id.HostID(host), Name: target}
}
