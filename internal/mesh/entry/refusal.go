package entry

import (
	"net/http"
	"strconv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// refusal is a request without an answer of a target.
type refusal struct {
	code problem.Code
	// status replaces the code's status; zero keeps it.
	status int
	// maybeRan says that the request may have run.
	maybeRan bool
	// retryAfter is the time after which the caller may succeed; zero when unknown.
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

// write sends the refusal. Fractions of a second are given, because a burst is over sooner than the next full second.
func (r *refusal) write(w http.ResponseWriter) (status int) {
	details := r.details()
	if r.retryAfter > 0 {
		w.Header()["Retry-After"] = []string{strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64)}
	}
	// The caller has gone if this fails; there is nobody to tell.
	_ = details.Write(w)
	return details.Status
}
