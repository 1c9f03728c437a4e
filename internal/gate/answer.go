package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/attempt"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// endWithError ends an attempt that got no response.
func (d *dispatch) endWithError(ctx context.Context, err error) {
	if !d.permitted.Load() {
		d.endUndispatched(ctx)
		return
	}
	d.endBroken(ctx, err)
	code := problem.OutcomeUnknown
	if d.class == hop.Idempotent {
		code = problem.TargetFailed
	}
	d.gate.deps.Log.Debug().Str("target", d.lease.target.id.Name).Err(err).Msg("gate: no response from the target")
	d.reply.problem(hop.Unknown, code, 0)
}

// endUndispatched ends an attempt that did not reach the target.
func (d *dispatch) endUndispatched(ctx context.Context) {
	d.gate.finish(d.request.Attempt, attempt.EndRefused)
	refused := d.refusal.Load()
	switch {
	case refused != nil:
	case ctx.Err() != nil:
		refused = &RefusedError{Code: problem.DeadlineTooShort}
	default:
		refused = &RefusedError{Code: problem.NoTarget}
	}
	if !d.connected && (ctx.Err() == nil || errors.Is(context.Cause(ctx), errTargetStalled)) {
		d.observe(ConnectFailed, 0, 0)
	}
	d.reply.refuse(refused)
}

// endBroken records that a dispatched attempt ended without a complete response.
func (d *dispatch) endBroken(ctx context.Context, err error) {
	d.gate.finish(d.request.Attempt, attempt.EndBroken)
	held := d.gate.deps.Clock.Now().Sub(d.sentAt)
	var writeErr *hop.WriteError
	switch {
	case errors.Is(context.Cause(ctx), errTargetStalled):
		d.observe(Stalled, 0, held)
		d.lease.target.transport.CloseIdleConnections()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		d.observe(TimedOut, 0, held)
	case ctx.Err() != nil, d.upload.Failed(), errors.As(err, &writeErr):
		d.observe(Cancelled, 0, held)
	default:
		d.observe(Broken, 0, held)
	}
}

// forwardResponse streams the target's response to the entry.
func (d *dispatch) forwardResponse(ctx context.Context, response *http.Response) {
	latency := d.gate.deps.Clock.Now().Sub(d.sentAt)
	if declined(response) {
		d.gate.finish(d.request.Attempt, attempt.EndDeclined)
		d.observe(Declined, response.StatusCode, latency)
		d.reply.refuse(&RefusedError{Code: problem.QueueFull, RetryAfter: retryAfter(response)})
		return
	}
	d.reply.Start()
	d.copyHeader(response)
	d.reply.W.WriteHeader(response.StatusCode)
	if err := d.copyBody(response); err != nil {
		d.endBroken(ctx, err)
		panic(http.ErrAbortHandler)
	}
	d.gate.finish(d.request.Attempt, attempt.EndComplete)
	d.observe(Completed, response.StatusCode, latency)
	d.reply.SetCompleteTrailer()
}

// copyHeader copies the target's header to the response. Hop headers from the target are replaced by the gate's own.
func (d *dispatch) copyHeader(response *http.Response) {
	hop.StripConnection(response.Header)
	hop.StripHop(response.Header)
	delete(response.Header, "Content-Length")
	delete(response.Header, hop.HeaderTargetAttempt)
	header := d.reply.W.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	length := response.ContentLength
	if hop.Bodyless(response.StatusCode) {
		length = -1
	}
	d.reply.SetHeader(d.reply.response(hop.Ran, "", length))
}

// copyBody streams the body. The watchdog runs only while the gate waits for the target.
func (d *dispatch) copyBody(response *http.Response) error {
	d.watchdog.Pause()
	stream := hop.Stream{
		W: d.reply.W, Control: d.reply.Control, Length: response.ContentLength, BeforeWrite: d.reply.ExtendWriteDeadline,
	}
	return stream.Copy(watchedReader{response.Body, d.watchdog})
}

// watchedReader runs the watchdog during reads.
type watchedReader struct {
	source   io.Reader
	watchdog *hop.Watchdog
}

// Read implements io.Reader.
func (r watchedReader) Read(p []byte) (int, error) {
	r.watchdog.Resume()
	defer r.watchdog.Pause()
	return r.source.Read(p)
}

// declined reports whether the target declares that it did not run the request.
func declined(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(hop.HeaderNotRun) == "true"
}

// retryAfter reads a Retry-After header in seconds; zero when it is absent, a date or not between 0 and 3600.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 || seconds > 3600 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
