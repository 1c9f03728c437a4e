package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"sync"
	"sync/atomic"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// StatusQueued is the informational response of a gate at which the attempt waits. The codes after it have no
	// standard meaning; only daemons see them.
	StatusQueued = http.StatusProcessing
	// StatusStarted is that of a gate at which the attempt has a slot.
	StatusStarted = 110
	// StatusOverdue is that for an attempt that takes far longer than usual.
	StatusOverdue = 111
	// StatusHopeless is that for an attempt that should be given up.
	StatusHopeless = 112
	// keptAnswer is the largest answer that is read before it is returned, in bytes.
	keptAnswer = 64 << 10
)

// ErrSilent ends an attempt whose host did not show that it has it.
var ErrSilent = errors.New("the host did not accept the attempt in time")

// errResent refuses the second transmission of a request, which net/http makes on some closed connections.
var errResent = errors.New("request was already sent")

// Client sends attempts to other hosts. It is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	peers map[id.HostID]*peer
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{peers: map[id.HostID]*peer{}}
}

// Retain closes the connections to all hosts that keep does not name.
func (c *Client) Retain(keep func(id.HostID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, p := range c.peers {
		if !keep(host) {
			p.transport.Load().CloseIdleConnections()
			delete(c.peers, host)
		}
	}
}

// peer returns the connections to a host.
func (c *Client) peer(host id.HostID) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[host]
	if p == nil {
		p = newPeer(string(host))
		c.peers[host] = p
	}
	return p
}

// Send makes one attempt at a host and returns when its answer, or the beginning of a long one, is there. Cancelling
// ctx ends the attempt; the cause ErrSilent also gives up the host's other connections.
func (c *Client) Send(ctx context.Context, host id.HostID, a *Attempt, signals Signals) *Result {
	p := c.peer(host)
	transport := p.transport.Load()
	call := &call{attempt: a, signals: signals}
	response, err := transport.RoundTrip(call.request(ctx, p.address))
	if err == nil {
		return call.accept(response)
	}
	result := call.failed(err)
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ErrSilent):
		p.renew(transport)
	case cause != nil:
		// The entry ended the attempt, which tells nothing about the way to the host.
		result.Reason, result.Err = Ended, cause
	}
	return result
}

// call is one attempt on its way.
type call struct {
	attempt *Attempt
	signals Signals
	body    *heldBody
	sent    atomic.Bool
}

// request builds the HTTP request.
func (c *call) request(ctx context.Context, address string) *http.Request {
	a := c.attempt
	header := a.Header.Clone()
	a.Encode(header)
	if _, named := header["User-Agent"]; !named {
		// An empty value keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	r := &http.Request{
		Method: a.Method, URL: &url.URL{Scheme: "http", Host: address, Opaque: a.URI}, Host: a.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header,
	}
	if !a.Idempotent || !a.Body.Empty() || a.HoldBack {
		c.body = &heldBody{source: a.Body.reader()}
		r.Body, r.ContentLength = c.body, a.Body.Length
		header["Expect"] = []string{"100-continue"}
		if a.Body.Empty() || a.Body.Length < 0 {
			// The last chunk of an empty body is what the gate waits for.
			r.ContentLength, r.TransferEncoding = -1, []string{"chunked"}
		}
	}
	trace := hop.Trace(func(bool) {}, c.markSent)
	trace.Got1xxResponse = func(code int, _ textproto.MIMEHeader) error {
		switch code {
		case StatusOverdue:
			c.signals.Overdue()
		case StatusHopeless:
			c.signals.Hopeless()
		case StatusStarted:
			c.signals.Started()
		default:
			c.signals.Queued()
		}
		return nil
	}
	trace.Got100Continue = c.signals.Started
	return r.WithContext(httptrace.WithClientTrace(ctx, trace))
}

// markSent permits the first transmission only.
func (c *call) markSent() error {
	if c.sent.Swap(true) {
		return errResent
	}
	return nil
}

// failed describes an attempt without an answer.
func (c *call) failed(err error) *Result {
	r := &Result{Verdict: hop.Unknown, Reason: LinkBroken, Err: err}
	if !c.sent.Load() {
		r.Verdict, r.Reason = hop.NotRun, NotConnected
	}
	if c.body != nil && !c.body.seal() {
		r.Verdict = hop.NotRun
	}
	return r
}

// accept converts a response.
func (c *call) accept(response *http.Response) *Result {
	c.signals.Queued()
	r, err := decodeResult(response.Header)
	if err != nil {
		_ = response.Body.Close()
		return c.failed(fmt.Errorf("response %d: %w", response.StatusCode, err))
	}
	if r.Verdict == hop.Ran {
		r.Status, r.Header, r.Length = response.StatusCode, response.Header, response.ContentLength
		hop.StripConnection(r.Header)
	}
	r.Body, err = io.ReadAll(io.LimitReader(response.Body, keptAnswer))
	if err != nil {
		_ = response.Body.Close()
		return c.failed(fmt.Errorf("read body: %w", err))
	}
	if r.Verdict == hop.Ran && len(r.Body) == keptAnswer {
		r.Rest = response.Body
		return r
	}
	if r.Verdict == hop.Ran && c.attempt.Method != http.MethodHead {
		r.Length = int64(len(r.Body))
	}
	_ = response.Body.Close()
	return r
}
