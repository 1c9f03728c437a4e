package gate

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/attempt"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// errTargetStalled cancels a request whose target makes no progress.
var errTargetStalled = errors.New("target made no progress")

// dispatch is the execution of one attempt on a leased target.
type dispatch struct {
	gate    *Gate
	lease   *lease
	request hop.Request
	reply   *reply
	class   hop.Class

	watchdog *hop.Watchdog
	upload   *hop.Upload
	cancel   context.CancelCauseFunc
	// permitted is set when the final check has passed, after which the attempt may have reached the target.
	permitted atomic.Bool
	refusal   atomic.Pointer[RefusedError]
	sentAt    clock.Time
	deadline  clock.Time
	connected bool
	// conn is the connection to the target; reused tells whether it has carried an earlier attempt.
	conn   net.Conn
	reused bool
}

// run sends the request and streams the response.
func (d *dispatch) run(ctx context.Context, r *http.Request) {
	ctx, d.cancel = context.WithCancelCause(ctx)
	defer d.cancel(nil)
	d.watchdog = hop.NewWatchdog(d.progressTimeout(), func() { d.cancel(errTargetStalled) })
	defer d.watchdog.Stop()
	outbound, err := d.buildRequest(ctx, r)
	if err != nil {
		d.gate.finish(d.request.Attempt, attempt.EndRefused)
		d.reply.refuse(&RefusedError{Code: problem.BadRequest})
		return
	}
	response, err := d.lease.target.transport.RoundTrip(outbound)
	if err != nil {
		d.endWithError(ctx, err)
		return
	}
	defer response.Body.Close()
	if err := d.checkEcho(response); err != nil {
		_ = d.conn.Close()
		d.endWithError(ctx, err)
		return
	}
	d.forwardResponse(ctx, response)
}

// progressTimeout returns the longest time that the target may take without sending a byte.
func (d *dispatch) progressTimeout() time.Duration {
	if limit := d.lease.demand.Service.ProgressTimeout; limit > 0 {
		return limit
	}
	return d.gate.config.ProgressTimeout
}

// buildRequest builds the request to the target.
func (d *dispatch) buildRequest(ctx context.Context, r *http.Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(d.request.URI)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", d.lease.target.address
	header := r.Header.Clone()
	hop.StripConnection(header)
	hop.StripReserved(header)
	header[hop.HeaderTargetAttempt] = []string{d.request.Attempt.String()}
	header[hop.HeaderTargetCustomer] = []string{string(d.request.Customer)}
	deadline, _ := ctx.Deadline()
	left := max(time.Until(deadline).Milliseconds(), 1)
	header[hop.HeaderTargetTimeout] = []string{strconv.FormatInt(left, 10)}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""}
	}
	checkOutbound(header, d.request.Attempt)
	request := &http.Request{Method: r.Method, URL: target, Host: r.Host, Header: header, ContentLength: r.ContentLength}
	request.Close = !d.lease.target.echoes.Load()
	if r.ContentLength != 0 {
		d.upload = hop.NewUpload(r.Body, d.watchdog)
		request.Body = io.NopCloser(d.upload)
	}
	trace := hop.Trace(d.gotConnection, func() error { return d.permit(ctx) })
	return request.WithContext(httptrace.WithClientTrace(ctx, trace)), nil
}

// gotConnection records that a connection is ready and whether it was used before.
func (d *dispatch) gotConnection(conn net.Conn, reused bool) {
	d.connected, d.conn, d.reused = true, conn, reused
}

// errForeignAnswer reports a response that is not that of the attempt.
var errForeignAnswer = errors.New("the response does not echo the attempt id")

// checkEcho checks that a response belongs to the attempt. A faulty target may send an earlier response once more where
// that of the next attempt is due. Only the first response on a connection therefore needs no echo, and the connections of
// a target are reused only once it has shown that it echoes ids.
func (d *dispatch) checkEcho(response *http.Response) error {
	echo := response.Header.Get(hop.HeaderTargetAttempt)
	switch {
	case echo == d.request.Attempt.String():
		d.lease.target.echoes.Store(true)
		return nil
	case echo == "" && !d.reused:
		return nil
	}
	return errForeignAnswer
}

// permit makes the final check before the first byte is written and records the dispatch.
func (d *dispatch) permit(ctx context.Context) error {
	if err := d.gate.permit(ctx, d.lease, d.request); err != nil {
		var refused *RefusedError
		errors.As(err, &refused)
		d.refusal.Store(refused)
		return err
	}
	d.sentAt = d.gate.deps.Clock.Now()
	d.deadline = d.sentAt.Add(d.request.Remaining)
	if at, ok := ctx.Deadline(); ok {
		d.deadline = d.sentAt.Add(time.Until(at))
	}
	d.permitted.Store(true)
	d.reply.Continue()
	d.observe(Dispatched, 0, 0)
	d.watchdog.Progress()
	return nil
}

// observe reports an event at the target to Health.
func (d *dispatch) observe(event Event, status int, latency time.Duration) {
	d.gate.deps.Health.Observe(Observation{
		Target: d.lease.target.id, Attempt: d.request.Attempt, Service: d.lease.target.service, Event: event,
		At: d.gate.deps.Clock.Now(), Deadline: d.deadline, Status: status, Latency: latency, NewConnection: !d.reused,
		Class: d.class, Customer: d.request.Customer, Fingerprint: d.request.Fingerprint,
	})
}
