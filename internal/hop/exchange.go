package hop

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// exchange is one request in flight. It records whether bytes were sent and cancels the request when the
// connection stalls.
type exchange struct {
	client    *Client
	peer      *peer
	transport *http.Transport
	ctx       context.Context
	cancel    context.CancelCauseFunc
	watchdog  *Watchdog
	sent      atomic.Bool
	// incarnation identifies the peer process that the validity stamp was made for.
	incarnation id.Incarnation
}

// newExchange returns an exchange with a running watchdog.
func newExchange(ctx context.Context, c *Client, p *peer, incarnation id.Incarnation) *exchange {
	x := &exchange{client: c, peer: p, incarnation: incarnation}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	x.watchdog = NewWatchdog(c.config.ProgressTimeout, func() { x.cancel(ErrStalled) })
	return x
}

// request builds the HTTP request.
func (x *exchange) request(scheme string, call Call) *http.Request {
	trace := Trace(func(net.Conn, bool) { x.watchdog.Progress() }, x.markSent)
	trace.Got1xxResponse = func(int, textproto.MIMEHeader) error {
		x.watchdog.Progress()
		return nil
	}
	request := &http.Request{
		Method: call.Method,
		// net/http ignores Expect on requests without a protocol version.
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:           x.client.url(x.peer, Path),
		Host:          call.Host,
		Header:        call.Header,
		ContentLength: call.ContentLength,
	}
	if call.ExpectContinue {
		request.Header["Expect"] = []string{"100-continue"}
	}
	if call.Body != nil && call.ContentLength != 0 {
		request.Body = io.NopCloser(NewUpload(call.Body, x.watchdog))
	}
	return request.WithContext(httptrace.WithClientTrace(x.ctx, trace))
}

// markSent permits only the first transmission, because net/http retries some requests by itself after their
// connection was closed.
func (x *exchange) markSent() error {
	if x.sent.Swap(true) {
		return errResent
	}
	return nil
}

// fail ends the exchange and returns a *BrokenError.
func (x *exchange) fail(err error) error {
	if cause := context.Cause(x.ctx); errors.Is(cause, ErrStalled) {
		err = ErrStalled
		x.peer.replaceTransport(x.transport)
	}
	x.close(err)
	return &BrokenError{Peer: x.peer.address, Sent: x.sent.Load(), Incarnation: x.incarnation, Err: err}
}

// close stops the watchdog and cancels the request if it is still running.
func (x *exchange) close(cause error) {
	x.watchdog.Stop()
	x.cancel(cause)
}

// accept checks that the response belongs to the attempt and records the peer's clock.
func (x *exchange) accept(response *http.Response, call Call) (*AttemptResponse, error) {
	hop, err := DecodeResponse(response.Header)
	if err != nil {
		return nil, err
	}
	if hop.Attempt != call.Request.Attempt {
		return nil, ErrWrongAttempt
	}
	if err := x.client.recordClock(x.peer, response.Header); err != nil {
		return nil, err
	}
	StripHop(response.Header)
	StripConnection(response.Header)
	x.watchdog.Pause()
	if call.ProgressTimeout > 0 {
		x.watchdog.SetLimit(call.ProgressTimeout)
	}
	return newAttemptResponse(x, hop, response, call.Method), nil
}
