package gate

import (
	"context"
	"errors"
	"io"
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

// errSilentTarget cancels a request whose target makes no progress.
var errSilentTarget = errors.New("target made no progress")

// dispatch is the run of one attempt on a leased target.
type dispatch struct {
	gate    *Gate
	lease   *lease
	request hop.Request
	reply   *reply
	class   hop.Class

	watch  *hop.Watch
	upload *hop.Upload
	cancel context.CancelCauseFunc
	// permitted is set when the attempt may have reached the target.
	permitted atomic.Bool
	refusal   atomic.Pointer[Refused]
	sentAt    clock.Time
	deadline  clock.Time
	connected bool
	reused    bool
}

// run sends the request and streams the answer.
func (d *dispatch) run(ctx context.Context, r *http.Request) {
	ctx, d.cancel = context.WithCancelCause(ctx)
	defer d.cancel(nil)
	d.watch = hop.NewWatch(d.silence(), func() { d.cancel(errSilentTarget) })
	defer d.watch.Stop()
	outbound, err := d.outbound(ctx, r)
	if err != nil {
		d.gate.finish(d.request.Attempt, attempt.EndRefused)
		d.reply.refuse(&Refused{Code: problem.BadRequest})
		return
	}
	response, err := d.lease.target.transport.RoundTrip(outbound)
	if err != nil {
		d.failed(ctx, err)
		return
	}
	defer response.Body.Close()
	d.answer(ctx, response)
}

// silence returns the longest time without a byte from the target.
func (d *dispatch) silence() time.Duration {
	if limit := d.lease.demand.Service.ProgressTimeout; limit > 0 {
		return limit
	}
	return d.gate.config.ProgressTimeout
}

// outbound builds the target's request.
func (d *dispatch) outbound(ctx context.Context, r *http.Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(d.request.URI)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", d.lease.target.address
	header := r.Header.Clone()
	hop.StripConnection(header)
	hop.StripReserved(header)
	header[hop.HeaderTargetCustomer] = []string{string(d.request.Customer)}
	deadline, _ := ctx.Deadline()
	left := max(time.Until(deadline).Milliseconds(), 1)
	header[hop.HeaderTargetTimeout] = []string{strconv.FormatInt(left, 10)}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""}
	}
	checkOutbound(header, d.request.Attempt)
	request := &http.Request{Method: r.Method, URL: target, Host: r.Host, Header: header, ContentLength: r.ContentLength}
	if r.ContentLength != 0 {
		d.upload = hop.NewUpload(r.Body, d.watch)
		request.Body = io.NopCloser(d.upload)
	}
	trace := hop.Trace(d.gotConnection, func() error { return d.permit(ctx) })
	return request.WithContext(httptrace.WithClientTrace(ctx, trace)), nil
}

// gotConnection notes the connection.
func (d *dispatch) gotConnection(reused bool) {
	d.connected, d.reused = true, reused
}

// permit makes the last check and records the dispatch.
func (d *dispatch) permit(ctx context.Context) error {
	if err := d.gate.permit(ctx, d.lease, d.request); err != nil {
		var refused *Refused
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
	d.watch.Progress()
	return nil
}

// observe reports an event at the target.
func (d *dispatch) observe(event Event, status int, latency time.Duration) {
	d.gate.deps.Health.Observe(Observation{
		Target: d.lease.target.id, Attempt: d.request.Attempt, Service: d.lease.target.service, Event: event,
		At: d.gate.deps.Clock.Now(), Deadline: d.deadline, Status: status, Latency: latency, NewConnection: !d.reused,
		Class: d.class, Customer: d.request.Customer, Fingerprint: d.request.Fingerprint,
	})
}
