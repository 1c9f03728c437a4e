package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/traffic"
)

const (
	// StatusQueued is the informational response of a gate when the attempt waits for a slot. The codes below it have
	// no standard meaning and are exchanged between daemons only.
	StatusQueued = http.StatusProcessing
	// StatusStarted is sent when the attempt has got a slot.
	StatusStarted = 110
	// StatusOverdue is sent when the attempt takes far longer than usual.
	StatusOverdue = 111
	// StatusCancelAdvised is sent when the gate advises cancelling the attempt; see Signals.
	StatusCancelAdvised = 112
	// maxBufferedBody bounds the part of a response body that is read before the result is returned, in bytes. The rest
	// is streamed.
	maxBufferedBody = 64 << 10
)

// ErrAcceptTimeout is the cancellation cause of an attempt that its host did not acknowledge in time.
var ErrAcceptTimeout = errors.New("the host did not accept the attempt in time")

// errResent prevents net/http from sending a request again, which it does after some connection errors.
var errResent = errors.New("request was already sent")

// Client sends attempts to other hosts. It is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	peers map[id.HostID]*peer
	meter *traffic.Meter
}

// NewClient returns a client.
func NewClient() *Client {
	return NewCountingClient(nil)
}

// NewCountingClient returns a client whose traffic is counted by a meter, which may be nil.
func NewCountingClient(meter *traffic.Meter) *Client {
	return &Client{peers: map[id.HostID]*peer{}, meter: meter}
}

// Retain drops all hosts for which keep returns false and closes their unused connections.
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

// peer returns the peer of a host and creates it if necessary.
func (c *Client) peer(host id.HostID) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[host]
	if p == nil {
		p = newPeer(string(host), c.meter)
		c.peers[host] = p
	}
	return p
}

// Send makes one attempt at a host. It returns when the response, or the beginning of a long one, has been read.
// Cancelling ctx ends the attempt; the cause ErrAcceptTimeout also makes later attempts at the host use new
// connections.
func (c *Client) Send(ctx context.Context, host id.HostID, a *Attempt, signals Signals) *Result {
	p := c.peer(host)
	transport := p.transport.Load()
	call := &call{attempt: a, signals: signals}
	response, err := transport.RoundTrip(call.request(ctx, p.address))
	if err == nil {
		result := call.readResult(response)
		call.settle(purposeOf(result))
		return result
	}
	call.settle(traffic.Other)
	result := call.failed(err)
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ErrAcceptTimeout):
		p.replaceTransport(transport)
	case cause != nil:
		// The entry ended the attempt, which is no evidence about the path to the host.
		result.Reason, result.Err = Ended, cause
	}
	return result
}

// call is one attempt in flight.
type call struct {
	attempt *Attempt
	signals Signals
	body    *heldBody
	sent    atomic.Bool
	// counted counts the bytes of the attempt; nil before there is a connection and without a meter.
	counted atomic.Pointer[traffic.Call]
}

// connected begins to count the bytes on the attempt's connection.
func (c *call) connected(conn net.Conn, _ bool) {
	if guarded, ok := conn.(interface{ NetConn() net.Conn }); ok {
		if counted, ok := guarded.NetConn().(*traffic.Conn); ok {
			c.counted.Store(counted.Begin())
		}
	}
}

// settle sets the purpose of the attempt's bytes. What is read of a long body later belongs to it, too.
func (c *call) settle(purpose traffic.Purpose) {
	if counted := c.counted.Load(); counted != nil {
		counted.Settle(purpose)
	}
}

// purposeOf returns what the bytes of an attempt were exchanged for.
func purposeOf(r *Result) traffic.Purpose {
	switch {
	case r.Verdict == hop.Ran:
		return traffic.Answered
	case r.Verdict == hop.NotRun && r.Err == nil:
		return traffic.Refused
	}
	return traffic.Other
}

// request builds the HTTP request.
func (c *call) request(ctx context.Context, address string) *http.Request {
	a := c.attempt
	header := a.Header.Clone()
	a.Encode(header)
	if _, named := header["User-Agent"]; !named {
		// An empty value keeps net/http from adding its default.
		header["User-Agent"] = []string{""}
	}
	uri := a.URI
	if strings.HasPrefix(uri, "//") {
		// net/http would make an absolute URL of it.
		header[headerURI] = []string{uri}
		uri = "/"
	}
	r := &http.Request{
		Method: a.Method, URL: &url.URL{Scheme: "http", Host: address, Opaque: uri}, Host: a.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header,
	}
	if !a.Idempotent || !a.Body.Empty() || a.HoldBody {
		c.body = &heldBody{body: a.Body, source: a.Body.reader(), mayRelease: a.Release}
		r.Body, r.ContentLength = c.body, a.Body.Length
		header["Expect"] = []string{"100-continue"}
		if a.Body.Empty() || a.Body.Length < 0 {
			// With chunked encoding even an empty body has a last chunk, which the gate waits for.
			r.ContentLength, r.TransferEncoding = -1, []string{"chunked"}
		}
	}
	trace := hop.Trace(c.connected, c.markSent)
	trace.Got1xxResponse = func(code int, _ textproto.MIMEHeader) error {
		switch code {
		case StatusOverdue:
			c.signals.Overdue()
		case StatusCancelAdvised:
			c.signals.CancelAdvised()
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

// markSent returns an error for every transmission but the first.
func (c *call) markSent() error {
	if c.sent.Swap(true) {
		return errResent
	}
	return nil
}

// failed returns the result of an attempt without a valid response.
func (c *call) failed(err error) *Result {
	r := &Result{Verdict: hop.Unknown, Reason: LinkBroken, Err: err}
	if !c.sent.Load() {
		r.Verdict, r.Reason = hop.NotRun, NotConnected
	}
	if c.body != nil && !c.body.cancel() {
		r.Verdict = hop.NotRun
	}
	return r
}

// readResult reads the result from a gate's response.
func (c *call) readResult(response *http.Response) *Result {
	c.signals.Queued()
	r, err := decodeResult(response.Header)
	if err != nil {
		_ = response.Body.Close()
		return c.failed(fmt.Errorf("response %d: %w", response.StatusCode, err))
	}
	if r.Verdict == hop.NotRun && c.body != nil {
		// The body may be sent to another host next.
		c.body.cancel()
	}
	if r.Verdict == hop.Ran {
		r.Status, r.Header, r.Length = response.StatusCode, response.Header, response.ContentLength
		hop.StripConnection(r.Header)
	}
	r.Body, err = io.ReadAll(io.LimitReader(response.Body, maxBufferedBody))
	if err != nil {
		_ = response.Body.Close()
		return c.failed(fmt.Errorf("read body: %w", err))
	}
	if r.Verdict == hop.Ran && len(r.Body) == maxBufferedBody {
		r.Rest = response.Body
		return r
	}
	if r.Verdict == hop.Ran && c.attempt.Method != http.MethodHead {
		r.Length = int64(len(r.Body))
	}
	_ = response.Body.Close()
	return r
}
