package entry

import (
	"errors"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// Refusal is the error for a request that does not get a target's response.
type Refusal struct {
	Code problem.Code
	// Run says whether the request may have run; empty means not-run.
	Run problem.Run
	// Send says whether this send may have run; empty when it equals Run.
	Send       problem.Run
	Detail     string
	RetryAfter time.Duration
	// coversKey says that Run is true for every send with the idempotency key and not only for this one.
	coversKey bool
}

// Error implements error.
func (r *Refusal) Error() string {
	return "refused: " + string(r.Code)
}

// refusalOf returns the refusal that err wraps, or one with the given code.
func refusalOf(err error, code problem.Code) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{Code: code}
}

// details returns the problem details of the response.
func (r *Refusal) details() problem.Details {
	run := r.Run
	if run == "" {
		run = problem.NotRun
	}
	details := problem.New(r.Code, run, r.Detail)
	details.Send = r.Send
	details.RetryAfter = r.RetryAfter
	return details
}

// forUnclaimedKey restates a refusal of a request whose idempotency key this send did not claim. An earlier
// send with the key may have run, so "not-run" is true for this send only.
func (r *Refusal) forUnclaimedKey() *Refusal {
	if r.coversKey || r.Run == problem.Unknown {
		return r
	}
	restated := *r
	restated.Run, restated.Send = problem.Unknown, problem.NotRun
	return &restated
}
