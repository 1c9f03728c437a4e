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

// ended takes the end of an attempt into account.
func (s *session) ended(a *attempt, result *link.Result) (*link.Result, bool) {
	a.stopTimers()
	delete(s.active, a.host)
	s.tries = append(s.tries, try{
		Host: a.host, Verdict: result.Verdict, Reason: result.Reason, TookMS: time.Since(a.sentAt).Milliseconds(),
	})
	s.entry.config.Chooser.Finish(a.host, reportOf(result))
	s.refusedLast = result.Verdict == hop.NotRun
	switch result.Verdict {
	case hop.Ran:
		s.arrivals++
		s.runs++
		if result.Status < 300 && !a.runningSince.IsZero() {
			s.entry.worktimes.Observe(s.query.route.ID, time.Since(a.runningSince))
		}
		if result.Status < 500 || !s.mayRepeat() {
			return result, true
		}
		s.keep(result)
	case hop.Unknown:
		s.arrivals++
		s.runs++
		if result.Reason == link.GateStopped && s.objective() <= 0 {
			// The run was overdue for the whole grace period. A repeat would most likely wait into the next planned stop
			// and fail there.
			s.giveUp(func(a *attempt) bool { return !a.running })
		}
	case hop.NotRun:
		s.refused(a, result)
	}
	return nil, false
}

// keep holds a target's failure back while the request is repeated.
func (s *session) keep(result *link.Result) {
	if s.fallback != nil {
		s.fallback.Close()
	}
	s.fallback = result
}

// refused takes a proved not-run into account. The caller is told the shortest wait that a gate expects, but no less
// than half of the time that its request has waited in vain.
func (s *session) refused(a *attempt, result *link.Result) {
	host := a.host
	if result.RetryAfter > 0 && (s.retryAfter == 0 || result.RetryAfter < s.retryAfter) {
		s.retryAfter = result.RetryAfter
	}
	s.inVain = max(s.inVain, time.Since(a.sentAt))
	switch result.Reason {
	case link.Quarantined:
		s.quarantined = true
	case link.Reason(slots.Full):
		s.fullAsked++
		s.full = append(s.full, host)
	case link.Reason(slots.Suspected):
		s.suspected = append(s.suspected, host)
	case link.Reason(slots.RepeatsUsedUp):
		s.repeatRefusals++
	case link.TargetDeclined, link.TargetReplaced:
		s.arrivals++
	}
}

// reportOf is what a result tells about its host.
func reportOf(r *link.Result) choose.Report {
	report := choose.Report{Load: r.Load, LoadKnown: r.LoadKnown, Rest: r.RetryAfter}
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

// settleTime bounds the wait for the verdicts of attempts that ended with the request's time. They are known on this
// host: an attempt whose body was not released has not run.
const settleTime = 20 * time.Millisecond

// timedOut ends a request whose time is up or whose caller is gone.
func (s *session) timedOut() (*link.Result, *refusal) {
	settled := time.NewTimer(settleTime)
	defer settled.Stop()
	for waiting := true; waiting && len(s.active) > 0; {
		select {
		case e := <-s.events:
			if e.kind != ended {
				continue
			}
			if result, done := s.ended(e.attempt, e.result); done {
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

// exhausted refuses a request for which no host is left.
func (s *session) exhausted() *refusal {
	if s.runs > 0 {
		return &refusal{code: problem.OutcomeUnknown, maybeRan: true}
	}
	if s.quarantined {
		return quarantinedRefusal()
	}
	retryAfter := max(s.retryAfter, s.inVain/2)
	if s.retryAfter == 0 {
		retryAfter = max(retryAfter, defaultRetryAfter)
	}
	if len(s.tries) == 0 {
		return &refusal{code: problem.NoTarget, retryAfter: retryAfter}
	}
	return &refusal{code: problem.QueueFull, retryAfter: retryAfter}
}
