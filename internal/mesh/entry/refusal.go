package entry

import (
	"net/http"
	"strconv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// refusal is the entry's own response to a request that gets no answer from a target.
type refusal struct {
	code problem.Code
	// status replaces the code's status; zero keeps it.
	status int
	// maybeRan is true if the request may have run.
	maybeRan bool
	// retryAfter is the time after which a retry may succeed; zero when unknown.
	retryAfter time.Duration
}

// details returns the response body.
func (r *refusal) details() problem.Details {
	run := problem.NotRun
	if r.maybeRan {
		run = problem.Unknown
	}
	details := problem.New(r.code, run, "")
	if r.status != 0 {
		details.Status = r.status
	}
	return details
}

// write sends the refusal. Retry-After has fractions of a second, because a burst can be over within less than one.
func (r *refusal) write(w http.ResponseWriter) (status int) {
	details := r.details()
	if r.retryAfter > 0 {
		w.Header()["Retry-After"] = []string{strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64)}
	}
	// A write fails only if the caller has disconnected.
	_ = details.Write(w)
	return details.Status
}
