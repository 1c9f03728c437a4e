package hop

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// exchange is one request on its way: it knows whether bytes were sent and cancels it when the peer goes silent.
type exchange struct {
	client    *Client
	peer      *peer
	transport *http.Transport
	ctx       context.Context
	cancel    context.CancelCauseFunc
	watch     *Watch
	sent      atomic.Bool
	// incarnation is the peer's process that the request is stamped for.
	incarnation id.Incarnation
}

// newExchange starts the watch.
func newExchange(ctx context.Context, c *Client, p *peer, incarnation id.Incarnation) *exchange {
	x := &exchange{client: c, peer: p, incarnation: incarnation}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	x.watch = NewWatch(c.config.Silence, func() { x.cancel(ErrSilent) })
	return x
}

// request builds the HTTP request.
func (x *exchange) request(scheme string, call Call) *http.Request {
	trace := Trace(func(bool) { x.watch.Progress() }, x.markSent)
	trace.Got1xxResponse = func(int, textproto.MIMEHeader) error {
		x.watch.Progress()
		return nil
	}
	request := &http.Request{
		Method: call.Method,
		// Without a version net/http ignores Expect.
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:           x.client.url(x.peer, Path),
		Host:          call.Host,
		Header:        call.Header,
		ContentLength: call.ContentLength,
	}
	if call.Await {
		request.Header["Expect"] = []string{"100-continue"}
	}
	if call.Body != nil && call.ContentLength != 0 {
		request.Body = io.NopCloser(NewUpload(call.Body, x.watch))
	}
	return request.WithContext(httptrace.WithClientTrace(x.ctx, trace))
}

// markSent permits the first transmission only; net/http repeats some requests on closed connections by itself.
func (x *exchange) markSent() error {
	if x.sent.Swap(true) {
		return errResent
	}
	return nil
}

// fail ends the exchange and describes the failure.
func (x *exchange) fail(err error) error {
	if cause := context.Cause(x.ctx); errors.Is(cause, ErrSilent) {
		err = ErrSilent
		x.peer.suspect(x.transport)
	}
	x.close(err)
	return &BrokenError{Peer: x.peer.address, Sent: x.sent.Load(), Incarnation: x.incarnation, Err: err}
}

// close stops the watch and cancels what is still running.
func (x *exchange) close(cause error) {
	x.watch.Stop()
	x.cancel(cause)
}

// accept checks that the response belongs to the attempt.
func (x *exchange) accept(response *http.Response, call Call) (*Answer, error) {
	hop, err := DecodeResponse(response.Header)
	if err != nil {
		return nil, err
	}
	if hop.Attempt != call.Request.Attempt {
		return nil, ErrCrossed
	}
	if err := x.client.noteClock(x.peer, response.Header); err != nil {
		return nil, err
	}
	StripHop(response.Header)
	StripConnection(response.Header)
	x.watch.Pause()
	if call.Silence > 0 {
		x.watch.SetLimit(call.Silence)
	}
	return newAnswer(x, hop, response, call.Method), nil
}
