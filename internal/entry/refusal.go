package entry

import (
	"errors"
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// Refusal is a request that gets no response of a target.
type Refusal struct {
	Code problem.Code
	// Run is the fate of the request; empty means not-run.
	Run problem.Run
	// Send is the fate of this send; empty when it equals Run.
	Send       problem.Run
	Detail     string
	RetryAfter time.Duration
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

// write sends the refusal to the caller.
func (r *Refusal) write(w http.ResponseWriter) {
	run := r.Run
	if run == "" {
		run = problem.NotRun
	}
	details := problem.New(r.Code, run, r.Detail)
	details.Send = r.Send
	details.RetryAfter = r.RetryAfter
	_ = details.Write(w)
}
