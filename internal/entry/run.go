package entry

import (
	"context"
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// hopSlack is added to the deadline on this side of the hop, so that the gate, which knows whether the request
// was dispatched, ends it first.
const hopSlack = 250 * time.Millisecond

// maxUnknowns bounds the attempts of one request that end without an answer. A request that crashes its targets
// ends like that and must not take more than two of them before the quarantine knows it.
const maxUnknowns = 2

// run attempts a request until it is answered, refused or its fate is unknown.
func (e *Entry) run(c *caller, r *http.Request, q *query, record record) *Refusal {
	e.budget.request()
	ctx, cancel := context.WithTimeout(r.Context(), q.deadline.Sub(e.deps.Clock.Now())+hopSlack)
	defer cancel()
	s := &session{entry: e, query: q, record: record, caller: c}
	refusal := s.attempts(ctx)
	detached := context.WithoutCancel(ctx)
	switch {
	case refusal == nil:
		return nil
	case s.ran:
		record.finish(detached, RunAnswered)
	case s.maybeRan:
		record.finish(detached, RunUnknown)
	default:
		record.finish(detached, RunRefused)
	}
	return refusal
}

// session is the work on one request.
type session struct {
	entry    *Entry
	query    *query
	record   record
	caller   *caller
	excluded []id.TargetID
	// maybeRan is set when some attempt may have run.
	maybeRan bool
	// unknowns counts the attempts that may have run without an answer.
	unknowns int
	// ran is set when the request ran and its answer was lost.
	ran bool
}

// attempts tries candidates until the request is answered or refused.
func (s *session) attempts(ctx context.Context) *Refusal {
	last := &Refusal{Code: problem.NoTarget}
	for n := range s.entry.config.MaxAttempts {
		candidate, refusal := s.pick()
		if refusal != nil {
			if n == 0 || refusal.Code == problem.RequestQuarantined {
				last = refusal
			}
			break
		}
		result := s.attempt(ctx, candidate)
		if result.delivered {
			return nil
		}
		last = result.refusal
		s.noteUnknown(result)
		s.ran = result.verdict == hop.Ran
		s.exclude(candidate, result)
		if n+1 == s.entry.config.MaxAttempts || !s.mayRetry(ctx, result) {
			break
		}
	}
	return s.truthful(last)
}

// pick chooses the target of the next attempt. The quarantine is asked before each
// attempt, because an earlier one may have crashed its target.
func (s *session) pick() (Candidate, *Refusal) {
	deps := s.entry.deps
	verdict := deps.Quarantine.Check(s.query.prints.crash)
	if verdict.Quarantined {
		return Candidate{}, &Refusal{Code: problem.RequestQuarantined, RetryAfter: verdict.RetryAfter}
	}
	var candidate Candidate
	var ok bool
	if verdict.Isolated {
		candidate, ok = deps.Picker.Isolate(s.query.service.Name, s.query.prints.crash)
	} else {
		candidate, ok = deps.Picker.Pick(s.query.service.Name, s.excluded, s.query.class() != hop.Once)
	}
	if !ok {
		return Candidate{}, &Refusal{Code: problem.NoTarget}
	}
	return candidate, nil
}

// noteUnknown counts an attempt that may have run.
func (s *session) noteUnknown(r result) {
	if r.verdict == hop.NotRun {
		return
	}
	s.maybeRan = true
	if r.verdict == hop.Unknown {
		s.unknowns++
	}
}

// exclude keeps a candidate from being picked again. A gate that restarted refuses the first stamp, and its
// answer brings the clock for the next one, so it stays a candidate.
func (s *session) exclude(candidate Candidate, r result) {
	if r.refusal.Code != problem.ValidityExpired {
		s.excluded = append(s.excluded, candidate.Target)
	}
}

// truthful adds what is known about all attempts to the last refusal.
func (s *session) truthful(refusal *Refusal) *Refusal {
	final := *refusal
	final.Run = problem.NotRun
	if s.maybeRan {
		final.Run = problem.Unknown
	}
	return &final
}

// mayRetry reports whether the request may be attempted again after a result.
func (s *session) mayRetry(ctx context.Context, r result) bool {
	if ctx.Err() != nil || !s.query.body.repeatable() {
		return false
	}
	if r.verdict != hop.NotRun && s.query.class() == hop.Once {
		return false
	}
	if s.unknowns >= maxUnknowns {
		return false
	}
	if r.loading() && !s.entry.budget.retry() {
		return false
	}
	if s.query.expiry.Before(s.entry.deps.Clock.Now()) {
		return s.entry.renew(ctx, s.query) == nil
	}
	return true
}
