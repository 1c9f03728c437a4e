package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/attempt"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
	"buckthornlatch.example/buckthornlatch/rpc/fate"
)

// sentAttempt is an attempt that was handed to the sender.
type sentAttempt struct {
	candidate Candidate
	id        id.AttemptID
	// sent is the time before the attempt was sent.
	sent clock.Time
	// incarnation is the gate's process that the attempt was sent to; zero when it was not sent.
	incarnation id.Incarnation
}

// result is the end of one attempt.
type result struct {
	// delivered says that the caller got a target's response.
	delivered bool
	// verdict is Ran without a delivery when the gate reports a complete answer that was lost on the hop.
	verdict hop.Verdict
	refusal *Refusal
}

// loading reports whether the attempt may have cost a target or a queue capacity.
func (r result) loading() bool {
	if r.verdict != hop.NotRun {
		return true
	}
	return r.refusal.Code == problem.QueueFull || r.refusal.Code == problem.DeadlineTooShort
}

// notRun is the result of an attempt that provably did not run.
func notRun(code problem.Code) result {
	return result{verdict: hop.NotRun, refusal: &Refusal{Code: code}}
}

// unknown is the result of an attempt that may have run.
func unknown(code problem.Code) result {
	return result{verdict: hop.Unknown, refusal: &Refusal{Code: code, Run: problem.Unknown}}
}

// attempt sends the request to one candidate.
func (s *session) attempt(ctx context.Context, candidate Candidate) result {
	attemptID, err := id.NewAttemptID(s.entry.deps.Random)
	if err != nil {
		return notRun(problem.NoTarget)
	}
	sent := s.entry.deps.Clock.Now()
	remaining := s.query.deadline.Sub(sent)
	if remaining < time.Millisecond {
		return notRun(problem.DeadlineTooShort)
	}
	body, detach := s.query.body.reader()
	defer detach()
	call := s.call(candidate, attemptID, remaining)
	call.Body = body
	answer, err := s.entry.deps.Sender.Do(ctx, call)
	latency := s.entry.deps.Clock.Now().Sub(sent)
	if err != nil {
		return s.broken(ctx, sentAttempt{candidate: candidate, id: attemptID, sent: sent}, err)
	}
	defer answer.Body.Close()
	return s.answered(ctx, candidate, answer, latency)
}

// call builds the hop's message.
func (s *session) call(candidate Candidate, attemptID id.AttemptID, remaining time.Duration) hop.Call {
	q := s.query
	return hop.Call{
		Peer: candidate.Gate,
		Request: hop.Request{
			Attempt:     attemptID,
			Remaining:   remaining,
			Customer:    q.identity.Customer,
			Service:     q.service.Name,
			Target:      candidate.Target.Name,
			Class:       q.class(),
			Fingerprint: q.prints.crash,
			KeyID:       q.identity.KeyID,
			URI:         q.uri,
		},
		Expiry:        q.expiry,
		Method:        q.method,
		Host:          q.host,
		Header:        q.header.Clone(),
		ContentLength: q.body.length,
		Await:         q.body.rest != nil,
		Silence:       s.silence(),
	}
}

// silence is the longest pause in a response body: the target's and some time for the hop.
func (s *session) silence() time.Duration {
	if s.query.service.ProgressTimeout > 0 {
		return s.query.service.ProgressTimeout + 4*hop.KeepAlive
	}
	return 0
}

// broken explains an attempt without a response.
func (s *session) broken(ctx context.Context, a sentAttempt, err error) result {
	var broken *hop.BrokenError
	sent := true
	if errors.As(err, &broken) {
		sent, a.incarnation = broken.Sent, broken.Incarnation
	}
	s.reportPath(ctx, a.candidate, err)
	if uploadErr := s.query.body.rest.failure(); uploadErr != nil {
		return s.uploadFailed(ctx, a, sent, uploadErr)
	}
	if !sent {
		return notRun(problem.NoTarget)
	}
	if s.query.class() == hop.Idempotent {
		return unknown(problem.OutcomeUnknown)
	}
	return s.resolve(ctx, a)
}

// uploadFailed explains an attempt that ended because the caller's body did.
func (s *session) uploadFailed(ctx context.Context, a sentAttempt, sent bool, err error) result {
	r := notRun(problem.BadRequest)
	if sent {
		r = s.resolve(ctx, a)
	}
	run := r.refusal.Run
	r.refusal = bodyRefusal(err)
	r.refusal.Run = run
	return r
}

// resolve asks the gate what became of an attempt. A not-run result that comes too late is not used, because
// the gate may have forgotten the attempt by then.
func (s *session) resolve(ctx context.Context, a sentAttempt) result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.entry.config.ResolveTimeout)
	defer cancel()
	for {
		outcome, err := s.entry.deps.Sender.Resolve(ctx, a.candidate.Gate, a.id, a.incarnation)
		switch {
		case err != nil:
		case outcome == fate.Outcome_OUTCOME_NOT_RUN && s.entry.deps.Clock.Now().Sub(a.sent) < resolveAge:
			return notRun(problem.NoTarget)
		case outcome == fate.Outcome_OUTCOME_RAN:
			return result{verdict: hop.Ran, refusal: &Refusal{Code: problem.AnswerNotKept, Run: problem.Unknown}}
		case outcome != fate.Outcome_OUTCOME_RUNNING:
			return unknown(problem.OutcomeUnknown)
		}
		select {
		case <-ctx.Done():
			return unknown(problem.OutcomeUnknown)
		case <-time.After(resolvePause):
		}
	}
}

const (
	// resolvePause is the time between two questions about an attempt.
	resolvePause = 100 * time.Millisecond
	// resolveAge bounds the age of an attempt at which a not-run answer of its gate is used.
	resolveAge = attempt.Retention - time.Minute
)

// reportPath tells the picker about a broken hop, unless the caller ended it.
func (s *session) reportPath(ctx context.Context, candidate Candidate, err error) {
	if ctx.Err() != nil {
		return
	}
	kind := PathFailed
	if errors.Is(err, hop.ErrSilent) {
		kind = PathSilent
	}
	s.entry.deps.Picker.Report(Feedback{Candidate: candidate, Service: s.query.service.Name, Kind: kind})
}

// retryableStatus reports whether a target's status is an error that another target may not have.
func retryableStatus(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusNotImplemented
}
