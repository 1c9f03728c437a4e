package entry

import (
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// attemptEnded processes the end of an attempt. It returns the result if that is the answer to deliver.
func (s *session) attemptEnded(e event) (*link.Result, bool) {
	a, result := e.attempt, e.result
	a.stopTimers()
	delete(s.active, a.host)
	s.records = append(s.records, newAttemptRecord(a, result))
	report := reportOf(result)
	report.Admitted = a.running
	report.Took, report.Queued, report.MaxWait = e.at.Sub(a.sentAt), a.queued, s.queueWait()
	s.entry.config.Chooser.Finish(a.host, report)
	s.lastRefused = result.Verdict == hop.NotRun
	s.recordCustomerWork(a, e.at)
	switch result.Verdict {
	case hop.Ran:
		s.arrivals++
		s.runs++
		if result.Status < 300 && !a.runningSince.IsZero() {
			s.entry.worktimes.Observe(s.request.route.ID, e.at.Sub(a.runningSince))
		}
		if result.Status < 500 || (len(s.active) == 0 && !s.mayRepeat()) {
			return result, true
		}
		s.setFallback(result)
	case hop.Unknown:
		s.arrivals++
		s.runs++
		if result.Reason == link.GateStopped && s.objective() <= 0 {
			// The attempt has missed its objective and ran for the whole grace period of its gate. A repeat would most
			// likely wait until the next planned stop and fail there.
			s.stopAttempts(func(a *attempt) bool { return !a.running })
		}
	case hop.NotRun:
		s.attemptRefused(a, result)
	}
	return nil, false
}

// setFallback keeps a target's failure, which is delivered if no repeat does better.
func (s *session) setFallback(result *link.Result) {
	if s.fallback != nil {
		s.fallback.Close()
	}
	s.fallback = result
}

// attemptRefused processes an attempt that provably did not run. It records what Retry-After is computed from: the
// shortest wait that a gate expects, and the longest time that an attempt took to be refused.
func (s *session) attemptRefused(a *attempt, result *link.Result) {
	host := a.host
	if result.RetryAfter > 0 && (s.retryAfter == 0 || result.RetryAfter < s.retryAfter) {
		s.retryAfter = result.RetryAfter
	}
	s.longestRefusal = max(s.longestRefusal, time.Since(a.sentAt))
	switch result.Reason {
	case link.Quarantined:
		s.quarantined = true
	case link.Reason(slots.Full):
		s.fullRefusals++
		s.fullHosts = append(s.fullHosts, host)
	case link.Reason(slots.Suspected):
		s.suspectedHosts = append(s.suspectedHosts, host)
	case link.Reason(slots.RepeatsUsedUp):
		s.repeatRefusals++
	case link.TargetDeclined, link.TargetReplaced:
		s.arrivals++
	}
}

// reportOf converts a result to an observation of its host for the chooser.
func reportOf(r *link.Result) choose.Observation {
	report := choose.Observation{Load: r.Load, LoadKnown: r.LoadKnown, Backoff: r.RetryAfter}
	switch {
	case r.Verdict == hop.Ran:
		report.Kind = choose.Answered
	case r.Reason == link.NotConnected, r.Reason == link.LinkBroken:
		report.Kind = choose.Unreachable
	case r.Reason == link.Reason(slots.Full), r.Reason == link.Reason(slots.TooLate), r.Reason == link.Reason(slots.RepeatsUsedUp):
		report.Kind = choose.Busy
	case r.Reason == link.Ended, r.Reason == link.GateStopped, r.Reason == link.OutOfTime, r.Reason == link.BodyBroken:
		report.Kind = choose.Ended
	default:
		report.Kind = choose.Declined
	}
	return report
}

// settleTimeout bounds the wait for the verdicts of attempts that end with the request's context. No round trip is
// needed for them: an attempt whose body was not released has not run.
const settleTimeout = 20 * time.Millisecond

// timedOut ends a request that reached its deadline or whose caller disconnected.
func (s *session) timedOut() (*link.Result, *refusal) {
	settled := time.NewTimer(settleTimeout)
	defer settled.Stop()
	for waiting := true; waiting && len(s.active) > 0; {
		select {
		case <-s.events.ready:
			e, any := s.events.next()
			if !any || e.kind != eventEnded {
				continue
			}
			if result, done := s.attemptEnded(e); done {
				return result, nil
			}
		case <-settled.C:
			waiting = false
		}
	}
	if s.fallback != nil {
		return s.takeFallback(), nil
	}
	if s.runs == 0 && len(s.active) == 0 {
		return nil, s.exhausted()
	}
	return nil, &refusal{code: problem.OutcomeUnknown, status: http.StatusGatewayTimeout, maybeRan: true}
}

// exhausted refuses a request for which no further attempt is possible. Retry-After is the shortest wait that a gate
// expects, but at least half of the longest time that an attempt took to be refused.
func (s *session) exhausted() *refusal {
	if s.runs > 0 {
		return &refusal{code: problem.OutcomeUnknown, maybeRan: true}
	}
	if s.quarantined {
		return quarantinedRefusal()
	}
	retryAfter := max(s.retryAfter, s.longestRefusal/2)
	if s.retryAfter == 0 {
		retryAfter = max(retryAfter, defaultRetryAfter)
	}
	if len(s.records) == 0 {
		return &refusal{code: problem.NoTarget, retryAfter: retryAfter}
	}
	return &refusal{code: problem.QueueFull, retryAfter: retryAfter}
}
