package entry

import (
	"cmp"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// handleAnswer reports a response to the picker and delivers it or converts it to a result.
func (x *execution) handleAnswer(ctx context.Context, candidate Candidate, answer *hop.AttemptResponse, latency time.Duration) result {
	x.reportAnswer(candidate, answer, latency)
	switch answer.Verdict {
	case hop.NotRun:
		drain(answer)
		return x.refusalResult(answer)
	case hop.Unknown:
		drain(answer)
		return unknownResult(cmp.Or(answer.Reason, problem.OutcomeUnknown))
	}
	if retryableStatus(answer.Status) && x.mayRetryError(ctx) {
		drain(answer)
		return unknownResult(problem.TargetFailed)
	}
	x.deliver(ctx, answer)
	return result{delivered: true, verdict: hop.Ran}
}

// maxDrainBytes is the largest part of an undelivered answer that is read.
const maxDrainBytes = 8 << 10

// drain reads an answer that is not delivered, so that the hop's connection can be reused if the answer is short.
func drain(answer *hop.AttemptResponse) {
	_, _ = io.CopyN(io.Discard, answer.Body, maxDrainBytes)
}

// refusalResult converts a gate's refusal to a result.
func (x *execution) refusalResult(answer *hop.AttemptResponse) result {
	r := notRunResult(cmp.Or(answer.Reason, problem.NoTarget))
	seconds, err := strconv.Atoi(answer.Header.Get("Retry-After"))
	if err == nil && seconds > 0 {
		r.refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	return r
}

// mayRetryError reports whether a target's error should be retried instead of delivered. The retry may still be
// refused by mayRetry or find no candidate; the caller then gets a refusal instead of the target's response.
func (x *execution) mayRetryError(ctx context.Context) bool {
	if x.request.class() != hop.Idempotent || len(x.excluded)+2 > x.entry.config.MaxAttempts {
		return false
	}
	return ctx.Err() == nil && x.request.body.resendable() && x.entry.budget.available()
}

// deliver streams a target's response to the caller. A truncated response aborts the caller's connection.
func (x *execution) deliver(ctx context.Context, answer *hop.AttemptResponse) {
	x.record.setHeader(answer.Status, answer.Header)
	header := x.caller.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	x.caller.writeHeader(answer.Status, answer.Length)
	stream := hop.Stream{
		W: x.caller.w, Control: x.caller.control, Length: answer.Length, BeforeWrite: x.caller.extendWriteDeadline,
	}
	err := stream.Copy(io.TeeReader(answer.Body, recordWriter{x.record}))
	x.finishDelivery(ctx, err)
}

// finishDelivery records how a delivery ended. After an error it breaks the caller's connection off.
func (x *execution) finishDelivery(ctx context.Context, err error) {
	detached := context.WithoutCancel(ctx)
	if err == nil {
		x.record.finish(detached, RunAnswered)
		return
	}
	x.record.finish(detached, RunUnknown)
	var writeErr *hop.WriteError
	if !errors.As(err, &writeErr) {
		x.entry.deps.Log.Debug().Err(err).Msg("entry: response aborted")
	}
	x.caller.breakOff()
}

// recordWriter is an io.Writer that appends to a run's record.
type recordWriter struct {
	record runRecord
}

// Write implements io.Writer.
func (r recordWriter) Write(p []byte) (int, error) {
	r.record.appendBody(p)
	return len(p), nil
}

// reportAnswer reports a response to the picker.
func (x *execution) reportAnswer(candidate Candidate, answer *hop.AttemptResponse, latency time.Duration) {
	f := Feedback{
		Candidate: candidate, Service: x.request.service.Name, Kind: Answered, Status: answer.Status,
		Reason: answer.Reason, Latency: latency, Load: answer.Load, LoadKnown: answer.LoadKnown,
	}
	switch answer.Verdict {
	case hop.NotRun:
		f.Kind = Declined
	case hop.Unknown:
		f.Kind = Failed
	}
	x.entry.deps.Picker.Report(f)
}
