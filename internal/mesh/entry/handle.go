package entry

import (
	"context"
	"errors"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// handle processes an event. It returns the result to deliver, and true, if the event settles the request.
func (s *session) handle(ctx context.Context, e event) (*link.Result, bool) {
	switch e.kind {
	case eventAcceptTimeout:
		if s.active[e.attempt.host] == e.attempt && e.attempt.acceptance.giveUp() {
			e.attempt.cancel(link.ErrAcceptTimeout)
		}
	case eventOverdue:
		if s.active[e.attempt.host] == e.attempt {
			s.entry.config.Chooser.Observe(e.attempt.host, choose.Observation{Kind: choose.Overdue})
			s.hedge(ctx)
		}
	case eventLocalOverdue:
		s.checkLocalOverdue(ctx, e.attempt)
	case eventStarted:
		if e.attempt.running {
			// A gate may say so twice. The work began with the first time.
			return nil, false
		}
		e.attempt.running, e.attempt.runningSince = true, e.at
		s.entry.config.Chooser.Observe(e.attempt.host, choose.Observation{
			Kind: choose.Started, Took: e.at.Sub(e.attempt.sentAt), Queued: e.attempt.queued,
		})
		s.startOverdueTimer(e.attempt)
		s.applyCancelAdvice()
	case eventCancelAdvised:
		if s.active[e.attempt.host] == e.attempt {
			e.attempt.cancelAdvised = true
			s.hedge(ctx)
			s.applyCancelAdvice()
		}
	case eventStopOver:
		s.stopTimer = nil
		s.applyCancelAdvice()
	case eventStopNear:
		s.hedgeBeforeStop(ctx)
	case eventRetryHedge:
		s.hedgeTimer = nil
		s.retryHedge(ctx)
	case eventEnded:
		return s.attemptEnded(e)
	}
	return nil, false
}

// startOverdueTimer lets the entry detect that a running attempt is overdue when its gate cannot report it, because the
// host has become unreachable.
func (s *session) startOverdueTimer(a *attempt) {
	limit := s.entry.worktimes.OverdueAfter(s.request.route.ID)
	if limit == 0 || s.active[a.host] != a {
		return
	}
	a.overdueTimer = time.AfterFunc(limit, func() { s.emit(event{kind: eventLocalOverdue, attempt: a}) })
}

// checkLocalOverdue hedges an attempt that is overdue by the entry's own estimate if its host is unreachable. Otherwise
// it checks again later.
func (s *session) checkLocalOverdue(ctx context.Context, a *attempt) {
	if s.active[a.host] != a || s.hedging {
		return
	}
	if s.entry.config.Chooser.IsUnreachable(a.host) {
		s.hedge(ctx)
		return
	}
	a.overdueTimer.Reset(overdueRecheckInterval)
}

// applyCancelAdvice cancels the attempts whose gates advise it, once another attempt of the request runs. The only one is left to
// its target, which ends it in time: cancelled, it would cost the caller an answer. In a planned stop nothing is cancelled until
// that is over.
func (s *session) applyCancelAdvice() {
	replaced, advised := false, false
	for _, a := range s.active {
		replaced = replaced || (a.running && !a.cancelAdvised)
		advised = advised || a.cancelAdvised
	}
	if !advised || !replaced {
		return
	}
	if left := s.entry.config.StopLeft(); left > 0 {
		s.applyCancelAdviceAfter(left)
		return
	}
	for _, a := range s.active {
		if a.cancelAdvised {
			a.cancel(errSlotNeeded)
		}
	}
}

// applyCancelAdviceAfter calls applyCancelAdvice after some time, unless it is about to be called already.
func (s *session) applyCancelAdviceAfter(wait time.Duration) {
	if s.stopTimer == nil {
		s.stopTimer = time.AfterFunc(wait, func() { s.emit(event{kind: eventStopOver}) })
	}
}

// errSlotNeeded is the cancellation cause of an attempt whose slot is needed by others.
var errSlotNeeded = errors.New("attempt cancelled because others need its slot")
