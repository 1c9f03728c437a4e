package entry

import (
	"context"
	"errors"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

const (
	// acceptWithin is the time in which a host must show that it has an attempt. It is many round trips between
	// failure domains and leaves most requests enough time for another host.
	acceptWithin = 400 * time.Millisecond
	// maxFull bounds the full gates, and maxAsked all hosts, that are asked without waiting. Each one costs a round trip
	// and bytes between failure domains, and after a few full ones the others are most likely full too.
	maxFull  = 3
	maxAsked = 8
	// maxWaits bounds the hosts at which one request waits for a slot.
	maxWaits = 2
	// maxRepeatRefusals bounds the gates that are asked for a part of the budget for repeats.
	maxRepeatRefusals = 3
	// leastRepeat is the least time that must be left for a repeat, repeatMargin the least part of the usual work time.
	// A gate hands over no attempt with less than that part either.
	leastRepeat  = 50 * time.Millisecond
	repeatMargin = 0.7
	// quietPeriod is the time between two looks at the host of an overdue attempt of which its gate tells nothing. Gates
	// judge by their own target, which may be slower than others, so that their silence alone proves nothing.
	quietPeriod = 500 * time.Millisecond
	// patienceShare is the largest part of the time left that a request waits for a slot at one host.
	patienceShare = 0.3
	// leastPatience is the wait of a request that can no longer meet its objective. Its answer is still worth something.
	leastPatience = 500 * time.Millisecond
	// nestedPatienceShare is that of a nested request, whose refusal wastes the work of the target that made it.
	nestedPatienceShare = 0.75
	// defaultRetryAfter is the advice when no gate told when it may have room.
	defaultRetryAfter = 400 * time.Millisecond
)

// session is the work on one request.
type session struct {
	entry *Entry
	query *query
	// events receives what happens to attempts, in order.
	events chan event
	active map[id.HostID]*attempt
	tries  []try

	asked []id.HostID
	full  []id.HostID
	// fullAsked counts the full gates, those that were tried again too.
	fullAsked int
	suspected []id.HostID
	waits     int
	// arrivals counts the attempts that may have reached a target, runs those that may have run.
	arrivals int
	runs     int
	// repeatRefusals counts the gates that had no budget for a repeat.
	repeatRefusals int
	// hedging says that another host is looked for beside an overdue attempt.
	hedging bool
	// refusedLast says that the last attempt that ended was refused.
	refusedLast bool
	// quarantined says that a gate refused the request because it crashes targets.
	quarantined bool
	// stopped says that the process is about to end.
	stopped bool
	// fallback is a target's failure, delivered when no repeat does better.
	fallback   *link.Result
	retryAfter time.Duration
	// inVain is the longest time that an attempt took until it was refused.
	inVain time.Duration
	// stop ends the events of attempts that nobody waits for any more.
	stop chan struct{}
}

// newSession returns the work on a request.
func newSession(e *Entry, q *query) *session {
	return &session{entry: e, query: q, events: make(chan event), active: map[id.HostID]*attempt{}, stop: make(chan struct{})}
}

// run attempts the request until there is an answer or a refusal.
func (s *session) run(ctx context.Context) (*link.Result, *refusal) {
	defer s.end()
	if !s.next(ctx) {
		return nil, s.exhausted()
	}
	stopping, ending := s.entry.config.Stopping, s.entry.config.Ending
	for {
		select {
		case e := <-s.events:
			s.refusedLast = false
			if result, done := s.handle(ctx, e); done {
				return result, nil
			}
		case <-ctx.Done():
			return s.timedOut()
		case <-stopping:
			stopping = nil
			s.giveUp(func(a *attempt) bool { return !a.running })
		case <-ending:
			ending = nil
			s.giveUp(func(*attempt) bool { return true })
		}
		if len(s.active) > 0 {
			if s.hedging && s.refusedLast && s.mayRepeat() {
				s.next(ctx)
			}
			continue
		}
		if s.fallback != nil && !s.mayRepeat() {
			return s.takeFallback(), nil
		}
		if s.mayContinue() && s.next(ctx) {
			continue
		}
		if s.fallback != nil {
			return s.takeFallback(), nil
		}
		return nil, s.exhausted()
	}
}

// end cancels what is still in flight.
func (s *session) end() {
	close(s.stop)
	for _, a := range s.active {
		a.stopTimers()
		a.cancel(errNotNeeded)
		s.entry.config.Chooser.Finish(a.host, choose.Report{Kind: choose.Ended})
	}
	if s.fallback != nil {
		s.fallback.Close()
	}
}

// errNotNeeded ends an attempt whose request was answered otherwise.
var errNotNeeded = errors.New("the request was answered")

// takeFallback returns the kept failure of a target.
func (s *session) takeFallback() *link.Result {
	result := s.fallback
	s.fallback = nil
	return result
}

// mayContinue reports whether another attempt is permitted after all earlier ones have ended.
func (s *session) mayContinue() bool {
	return !s.stopped && !s.quarantined && (s.runs == 0 || s.mayRepeat())
}

// giveUp ends attempts before the process does, so that the caller learns what became of its request.
func (s *session) giveUp(which func(*attempt) bool) {
	s.stopped = true
	for _, a := range s.active {
		if which(a) {
			a.cancel(errStopping)
		}
	}
}

// errStopping ends an attempt because its entry's process ends.
var errStopping = errors.New("the daemon is stopping")

// mayRepeat reports whether the request may be attempted beside or after an attempt that may have run.
func (s *session) mayRepeat() bool {
	q := s.query
	if !q.route.Idempotent || !q.body.Repeatable() || s.quarantined || s.stopped {
		return false
	}
	return s.repeatRefusals < maxRepeatRefusals && s.runs+len(s.active) < q.route.MaxAttempts && s.timeForRepeat()
}

// timeForRepeat reports whether a repeat can be answered in time. One that cannot would use up the budget for others.
func (s *session) timeForRepeat() bool {
	usual := s.entry.worktimes.Mean(s.query.route.ID)
	return time.Until(s.query.deadline) >= max(leastRepeat, time.Duration(repeatMargin*float64(usual)))
}
