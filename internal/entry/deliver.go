package entry

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// answered handles a response that belongs to the attempt.
func (s *session) answered(ctx context.Context, candidate Candidate, answer *hop.Answer, latency time.Duration) result {
	s.reportAnswer(candidate, answer, latency)
	switch answer.Verdict {
	case hop.NotRun:
		drain(answer)
		return s.refused(answer)
	case hop.Unknown:
		drain(answer)
		return unknown(cmp.Or(answer.Reason, problem.OutcomeUnknown))
	}
	if retryableStatus(answer.Status) && s.retryInstead(ctx) {
		drain(answer)
		return unknown(problem.TargetFailed)
	}
	s.deliver(ctx, answer)
	return result{delivered: true, verdict: hop.Ran}
}

// drainedAnswer bounds the part of an unused answer that is read, in bytes.
const drainedAnswer = 8 << 10

// drain reads a short answer that is not delivered, so that the hop's connection can be used again.
func drain(answer *hop.Answer) {
	_, _ = io.CopyN(io.Discard, answer.Body, drainedAnswer)
}

// refused converts a gate's refusal.
func (s *session) refused(answer *hop.Answer) result {
	r := notRun(cmp.Or(answer.Reason, problem.NoTarget))
	seconds, err := strconv.Atoi(answer.Header.Get("Retry-After"))
	if err == nil && seconds > 0 {
		r.refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	return r
}

// retryInstead reports whether a target's error will be followed by another attempt instead of delivered.
func (s *session) retryInstead(ctx context.Context) bool {
	if s.query.class() != hop.Idempotent || len(s.excluded)+2 > s.entry.config.MaxAttempts {
		return false
	}
	return ctx.Err() == nil && s.query.body.repeatable() && s.entry.budget.available()
}

// deliver streams a target's response to the caller. A response that breaks off aborts the connection.
func (s *session) deliver(ctx context.Context, answer *hop.Answer) {
	s.record.answering(answer.Status, answer.Header)
	header := s.caller.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	s.caller.begin(answer.Status, answer.Length)
	stream := hop.Stream{
		W: s.caller.w, Control: s.caller.control, Length: answer.Length, BeforeWrite: s.caller.beforeWrite,
	}
	err := stream.Copy(io.TeeReader(answer.Body, recorder{s.record}))
	s.close(ctx, err)
}

// close records the end of a delivery.
func (s *session) close(ctx context.Context, err error) {
	detached := context.WithoutCancel(ctx)
	if err == nil {
		s.record.finish(detached, RunAnswered)
		return
	}
	s.record.finish(detached, RunUnknown)
	var gone *hop.WriteError
	if !errors.As(err, &gone) {
		s.entry.deps.Log.Debug().Err(err).Msg("entry: response aborted")
	}
	panic(http.ErrAbortHandler)
}

// recorder passes written bytes to a record.
type recorder struct {
	record record
}

// Write implements io.Writer.
func (r recorder) Write(p []byte) (int, error) {
	r.record.wrote(p)
	return len(p), nil
}

// reportAnswer tells the picker about a response.
func (s *session) reportAnswer(candidate Candidate, answer *hop.Answer, latency time.Duration) {
	f := Feedback{
		Candidate: candidate, Service: s.query.service.Name, Kind: Answered, Status: answer.Status,
		Reason: answer.Reason, Latency: latency, Load: answer.Load, LoadKnown: answer.LoadKnown,
	}
	switch answer.Verdict {
	case hop.NotRun:
		f.Kind = Declined
	case hop.Unknown:
		f.Kind = Failed
	}
	s.entry.deps.Picker.Report(f)
}
