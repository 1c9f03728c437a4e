package gate

import (
	"errors"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/attempt"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// reply is the response to one attempt.
type reply struct {
	*hop.Reply
	gate   *Gate
	demand demand
}

// response returns the hop headers for a verdict.
func (r *reply) response(verdict hop.Verdict, reason problem.Code, length int64) hop.Response {
	response := hop.Response{Verdict: verdict, Reason: reason, Length: length}
	if r.demand.Service.Name != "" {
		response.Load, response.LoadKnown = r.gate.pool.load(r.demand), true
	}
	return response
}

// refuse writes the response for an attempt that was not dispatched, or that the target declined.
func (r *reply) refuse(err error) {
	refused := &RefusedError{Code: problem.NoTarget}
	_ = errors.As(err, &refused)
	r.problem(hop.NotRun, refused.Code, refused.RetryAfter)
}

// rejectByState writes the response for an attempt that arrived before, or that the full table cannot record.
func (r *reply) rejectByState(state attempt.State) {
	switch state {
	case attempt.Blocked, attempt.NotRun:
		r.problem(hop.NotRun, problem.AttemptBlocked, 0)
	case attempt.Full:
		r.problem(hop.NotRun, problem.QueueFull, 0)
	default:
		r.problem(hop.Unknown, problem.OutcomeUnknown, 0)
	}
}

// problem writes a problem response with the verdict.
func (r *reply) problem(verdict hop.Verdict, code problem.Code, retryAfter time.Duration) {
	details := problem.New(code, problem.Run(verdict), "")
	details.RetryAfter = retryAfter
	r.WriteProblem(r.response(verdict, code, -1), details)
}
