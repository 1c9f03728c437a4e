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

// sentAttempt identifies an attempt that was handed to the sender.
type sentAttempt struct {
	candidate Candidate
	id        id.AttemptID
	// sentAt is a time just before the attempt was sent.
	sentAt clock.Time
	// incarnation identifies the gate's process that the attempt was sent to; zero when it was not sent.
	incarnation id.Incarnation
}

// result is the outcome of one attempt.
type result struct {
	// delivered says that a target's response was passed to the caller.
	delivered bool
	// verdict is Ran with delivered false when the gate reports a complete answer that was lost on the hop.
	verdict hop.Verdict
	refusal *Refusal
}

// mayHaveUsedCapacity reports whether the attempt may have loaded a target or a gate's queue.
func (r result) mayHaveUsedCapacity() bool {
	if r.verdict != hop.NotRun {
		return true
	}
	return r.refusal.Code == problem.QueueFull || r.refusal.Code == problem.DeadlineTooShort
}

// notRunResult returns the result of an attempt that provably did not run.
func notRunResult(code problem.Code) result {
	return result{verdict: hop.NotRun, refusal: &Refusal{Code: code}}
}

// unknownResult returns the result of an attempt that may have run.
func unknownResult(code problem.Code) result {
	return result{verdict: hop.Unknown, refusal: &Refusal{Code: code, Run: problem.Unknown}}
}

// attempt sends the request to one candidate.
func (x *execution) attempt(ctx context.Context, candidate Candidate) result {
	attemptID, err := id.NewAttemptID(x.entry.deps.Random)
	if err != nil {
		return notRunResult(problem.NoTarget)
	}
	sent := x.entry.deps.Clock.Now()
	remaining := x.request.deadline.Sub(sent)
	if remaining < time.Millisecond {
		return notRunResult(problem.DeadlineTooShort)
	}
	body, detach := x.request.body.reader()
	defer detach()
	call := x.hopCall(candidate, attemptID, remaining)
	call.Body = body
	answer, err := x.entry.deps.Sender.Do(ctx, call)
	latency := x.entry.deps.Clock.Now().Sub(sent)
	if err != nil {
		return x.attemptFailed(ctx, sentAttempt{candidate: candidate, id: attemptID, sentAt: sent}, err)
	}
	defer answer.Body.Close()
	return x.handleAnswer(ctx, candidate, answer, latency)
}

// hopCall returns the hop request of an attempt.
func (x *execution) hopCall(candidate Candidate, attemptID id.AttemptID, remaining time.Duration) hop.Call {
	q := x.request
	return hop.Call{
		Peer: candidate.Gate,
		Request: hop.Request{
			Attempt:     attemptID,
			Remaining:   remaining,
			Customer:    q.identity.Customer,
			Service:     q.service.Name,
			Target:      candidate.Target.Name,
			Class:       q.class(),
			Fingerprint: q.fingerprints.crash,
			KeyID:       q.identity.KeyID,
			URI:         q.uri,
		},
		Expiry:          q.expiry,
		Method:          q.method,
		Host:            q.host,
		Header:          q.header.Clone(),
		ContentLength:   q.body.length,
		ExpectContinue:  q.body.rest != nil,
		ProgressTimeout: x.maxBodyPause(),
	}
}

// maxBodyPause returns the longest allowed pause in a response body: the service's progress timeout plus four
// keep-alive intervals for the hop. Zero selects the sender's default.
func (x *execution) maxBodyPause() time.Duration {
	if x.request.service.ProgressTimeout > 0 {
		return x.request.service.ProgressTimeout + 4*hop.KeepAliveInterval
	}
	return 0
}

// attemptFailed returns the result of an attempt that ended without a usable response.
func (x *execution) attemptFailed(ctx context.Context, a sentAttempt, err error) result {
	var brokenErr *hop.BrokenError
	sent := true
	if errors.As(err, &brokenErr) {
		sent, a.incarnation = brokenErr.Sent, brokenErr.Incarnation
	}
	x.reportHopFailure(ctx, a.candidate, err)
	if uploadErr := x.request.body.rest.failure(); uploadErr != nil {
		return x.uploadFailed(ctx, a, sent, uploadErr)
	}
	if !sent {
		return notRunResult(problem.NoTarget)
	}
	if x.request.class() == hop.Idempotent {
		return unknownResult(problem.OutcomeUnknown)
	}
	return x.resolve(ctx, a)
}

// uploadFailed returns the result of an attempt that ended because the caller's body could not be read or
// was rejected.
func (x *execution) uploadFailed(ctx context.Context, a sentAttempt, sent bool, err error) result {
	r := notRunResult(problem.BadRequest)
	if sent {
		r = x.resolve(ctx, a)
	}
	run := r.refusal.Run
	r.refusal = bodyRefusal(err)
	r.refusal.Run = run
	return r
}

// resolve polls the gate for the outcome of an attempt until it is final or ResolveTimeout has passed. A not-run
// answer counts as unknown once the attempt is older than maxResolveAge, because the gate may have dropped its
// record by then.
func (x *execution) resolve(ctx context.Context, a sentAttempt) result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.entry.config.ResolveTimeout)
	defer cancel()
	for {
		outcome, err := x.entry.deps.Sender.Resolve(ctx, a.candidate.Gate, a.id, a.incarnation)
		switch {
		case err != nil:
		case outcome == fate.Outcome_OUTCOME_NOT_RUN && x.entry.deps.Clock.Now().Sub(a.sentAt) < maxResolveAge:
			return notRunResult(problem.NoTarget)
		case outcome == fate.Outcome_OUTCOME_RAN:
			return result{verdict: hop.Ran, refusal: &Refusal{Code: problem.AnswerNotKept, Run: problem.Unknown}}
		case outcome != fate.Outcome_OUTCOME_RUNNING:
			return unknownResult(problem.OutcomeUnknown)
		}
		select {
		case <-ctx.Done():
			return unknownResult(problem.OutcomeUnknown)
		case <-time.After(resolveInterval):
		}
	}
}

const (
	// resolveInterval is the pause between two polls for the outcome of an attempt.
	resolveInterval = 100 * time.Millisecond
	// maxResolveAge is the age of an attempt from which a not-run answer of its gate is no longer used: one
	// minute less than the gate keeps its record.
	maxResolveAge = attempt.Retention - time.Minute
)

// reportHopFailure reports a failed hop to the picker, unless the request's context has ended.
func (x *execution) reportHopFailure(ctx context.Context, candidate Candidate, err error) {
	if ctx.Err() != nil {
		return
	}
	kind := PathFailed
	if errors.Is(err, hop.ErrStalled) {
		kind = PathStalled
	}
	x.entry.deps.Picker.Report(Feedback{Candidate: candidate, Service: x.request.service.Name, Kind: kind})
}

// retryableStatus reports whether a target's status is an error that another target may not return.
func retryableStatus(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusNotImplemented
}
