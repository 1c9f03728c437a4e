package entry

import (
	"context"
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// hopDeadlineSlack is added to the deadline on this side of the hop, so that the gate times out first: it can tell
// whether the request was dispatched.
const hopDeadlineSlack = 250 * time.Millisecond

// maxUnknownOutcomes bounds the attempts of one request that end with an unknown outcome, as they do when the request
// crashes its targets. Such a request must not crash more than two targets before it is quarantined.
const maxUnknownOutcomes = 2

// run attempts a request until it is answered or refused and records the outcome of a refused one. The outcome of an
// answered one is recorded at the end of the delivery.
func (e *Entry) run(c *callerConn, r *http.Request, q *request, record runRecord) *Refusal {
	e.budget.credit()
	ctx, cancel := context.WithTimeout(r.Context(), q.deadline.Sub(e.deps.Clock.Now())+hopDeadlineSlack)
	defer cancel()
	x := &execution{entry: e, request: q, record: record, caller: c}
	refusal := x.runAttempts(ctx)
	detached := context.WithoutCancel(ctx)
	switch {
	case refusal == nil:
		return nil
	case x.answerLost:
		record.finish(detached, RunAnswered)
	case x.mayHaveRun:
		record.finish(detached, RunUnknown)
	default:
		record.finish(detached, RunRefused)
	}
	return refusal
}

// execution is the state of one request and its attempts.
type execution struct {
	entry    *Entry
	request  *request
	record   runRecord
	caller   *callerConn
	excluded []id.TargetID
	// mayHaveRun says that some attempt may have run.
	mayHaveRun bool
	// unknownOutcomes counts the attempts with an unknown outcome.
	unknownOutcomes int
	// answerLost says that the last attempt ran but its answer was lost.
	answerLost bool
}

// runAttempts tries candidates until the request is answered or refused.
func (x *execution) runAttempts(ctx context.Context) *Refusal {
	last := &Refusal{Code: problem.NoTarget}
	for n := range x.entry.config.MaxAttempts {
		candidate, refusal := x.pick()
		if refusal != nil {
			if n == 0 || refusal.Code == problem.RequestQuarantined {
				last = refusal
			}
			break
		}
		result := x.attempt(ctx, candidate)
		if result.delivered {
			return nil
		}
		last = result.refusal
		x.noteOutcome(result)
		x.answerLost = result.verdict == hop.Ran
		x.exclude(candidate, result)
		if n+1 == x.entry.config.MaxAttempts || !x.mayRetry(ctx, result) {
			break
		}
	}
	return x.withRunState(last)
}

// pick chooses the target of the next attempt. The quarantine is checked before each attempt, because an earlier one
// may have crashed its target.
func (x *execution) pick() (Candidate, *Refusal) {
	deps := x.entry.deps
	verdict := deps.Quarantine.Check(x.request.fingerprints.crash)
	if verdict.Quarantined {
		return Candidate{}, &Refusal{Code: problem.RequestQuarantined, RetryAfter: verdict.RetryAfter}
	}
	var candidate Candidate
	var ok bool
	if verdict.Isolated {
		candidate, ok = deps.Picker.PickIsolated(x.request.service.Name, x.request.fingerprints.crash)
	} else {
		candidate, ok = deps.Picker.Pick(x.request.service.Name, x.excluded, x.request.class() != hop.Once)
	}
	if !ok {
		return Candidate{}, &Refusal{Code: problem.NoTarget}
	}
	return candidate, nil
}

// noteOutcome updates mayHaveRun and unknownOutcomes.
func (x *execution) noteOutcome(r result) {
	if r.verdict == hop.NotRun {
		return
	}
	x.mayHaveRun = true
	if r.verdict == hop.Unknown {
		x.unknownOutcomes++
	}
}

// exclude keeps a candidate from being picked again, unless the gate refused the validity stamp: a restarted gate
// refuses the first stamp, and its answer carries the clock reading for the next one.
func (x *execution) exclude(candidate Candidate, r result) {
	if r.refusal.Code != problem.ValidityExpired {
		x.excluded = append(x.excluded, candidate.Target)
	}
}

// withRunState returns a copy of the last refusal that states whether any of the attempts may have run.
func (x *execution) withRunState(refusal *Refusal) *Refusal {
	final := *refusal
	final.Run = problem.NotRun
	if x.mayHaveRun {
		final.Run = problem.Unknown
	}
	return &final
}

// mayRetry reports whether the request may be attempted again after a result.
func (x *execution) mayRetry(ctx context.Context, r result) bool {
	if ctx.Err() != nil || !x.request.body.resendable() {
		return false
	}
	if r.verdict != hop.NotRun && x.request.class() == hop.Once {
		return false
	}
	if x.unknownOutcomes >= maxUnknownOutcomes {
		return false
	}
	if r.mayHaveUsedCapacity() && !x.entry.budget.take() {
		return false
	}
	if x.request.expiry.Before(x.entry.deps.Clock.Now()) {
		return x.entry.renewPermission(ctx, x.request) == nil
	}
	return true
}
