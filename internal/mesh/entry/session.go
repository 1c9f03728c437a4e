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
	// acceptTimeout is the time within which a host must acknowledge an attempt. It is many round trips between failure
	// domains and leaves most requests enough time for another host.
	acceptTimeout = 400 * time.Millisecond
	// No further host is tried without queueing after maxFullRefusals refusals by full gates, or after maxHostsTried
	// hosts. Each one costs a round trip and bytes between failure domains, and after a few full ones the others are
	// most likely full too.
	maxFullRefusals = 3
	maxHostsTried   = 8
	// maxQueueWaits bounds the full hosts at which one request queues.
	maxQueueWaits = 2
	// maxRepeatRefusals is the number of gates without retry budget after which a request is not repeated.
	maxRepeatRefusals = 3
	// A repeat needs at least minRepeatTime, and minRepeatWorkShare of the usual work time, before the deadline. A gate
	// hands over no attempt with less than that share either.
	minRepeatTime      = 50 * time.Millisecond
	minRepeatWorkShare = 0.7
	// overdueRecheckInterval is the interval between checks whether the host of an attempt has become unreachable, when
	// the attempt is overdue by the entry's estimate but its gate has not reported it. Gates judge by their own target,
	// which may be slower than others, so a missing report alone proves nothing.
	overdueRecheckInterval = 500 * time.Millisecond
	// maxQueueWaitShare is the largest share of the time left that a request may wait for a slot at one host.
	maxQueueWaitShare = 0.3
	// minQueueWait is the wait of a request that can no longer meet its objective. Its answer still has some value.
	minQueueWait = 500 * time.Millisecond
	// nestedQueueWaitShare is the share for a nested request, whose refusal wastes the work of the target that made it.
	nestedQueueWaitShare = 0.75
	// defaultRetryAfter is the least Retry-After when no gate has reported when it may have room.
	defaultRetryAfter = 400 * time.Millisecond
)

// session makes the attempts for one request. Its events are handled on the goroutine that calls run.
type session struct {
	entry   *Entry
	request *request
	// events holds the events of all attempts that were not handled yet.
	events  *eventQueue
	active  map[id.HostID]*attempt
	records []attemptRecord

	tried     []id.HostID
	fullHosts []id.HostID
	// fullRefusals counts the refusals by full gates, including repeated ones of the same gate.
	fullRefusals   int
	suspectedHosts []id.HostID
	queueWaits     int
	// arrivals counts the ended attempts that may have reached a target, runs those that may have run.
	arrivals int
	runs     int
	// repeatRefusals counts the gates that refused a repeat because their retry budget was used up.
	repeatRefusals int
	// hedging is true once a hedge was permitted. If its attempt is refused, another host is tried.
	hedging bool
	// draw decides whether the request may leave the failure domain when that has no room.
	draw float64
	// stayed is true once the request has waited for a slot in the failure domain although it could leave.
	stayed bool
	// lastRefused is true if the latest event was the end of an attempt that did not run.
	lastRefused bool
	// quarantined is true if a gate refused the request because it crashes targets.
	quarantined bool
	// hedgeTimer fires when a hedge that no gate took may be tried again, stopNearTimer when the end of a planned stop is near; nil
	// while there is no reason.
	hedgeTimer, stopNearTimer *time.Timer
	// stopTimer fires when a planned stop may be over, in which advice to cancel attempts was not followed; nil without such
	// advice.
	stopTimer *time.Timer
	// stopped is true once stopAttempts was called; no further attempts are made then.
	stopped bool
	// fallback is a target's failure that is delivered if no repeat does better.
	fallback   *link.Result
	retryAfter time.Duration
	// longestRefusal is the longest time that an attempt took to be refused.
	longestRefusal time.Duration
}

func newSession(e *Entry, req *request) *session {
	return &session{entry: e, request: req, events: newEventQueue(), active: map[id.HostID]*attempt{}, draw: e.config.Random()}
}

// run attempts the request until there is an answer or a refusal.
func (s *session) run(ctx context.Context) (*link.Result, *refusal) {
	defer s.end()
	if !s.startNext(ctx) {
		return nil, s.exhausted()
	}
	draining, stopping, ending := s.entry.config.Draining, s.entry.config.Stopping, s.entry.config.Ending
	for {
		select {
		case <-s.events.ready:
			e, any := s.events.next()
			if !any {
				continue
			}
			s.lastRefused = false
			if result, done := s.handle(ctx, e); done {
				return result, nil
			}
		case <-ctx.Done():
			return s.timedOut()
		case <-draining:
			draining = nil
			s.awaitStopNear()
		case <-stopping:
			stopping = nil
			s.stopAttempts(func(a *attempt) bool { return !a.running })
		case <-ending:
			ending = nil
			s.stopAttempts(func(*attempt) bool { return true })
		}
		if len(s.active) > 0 {
			if s.hedging && s.lastRefused {
				s.continueHedge(ctx)
			}
			continue
		}
		if s.fallback != nil && !s.mayRepeat() {
			return s.takeFallback(), nil
		}
		if s.mayContinue() && s.startNext(ctx) {
			continue
		}
		if s.fallback != nil {
			return s.takeFallback(), nil
		}
		return nil, s.exhausted()
	}
}

// end cancels the attempts that are still in flight.
func (s *session) end() {
	for _, timer := range []*time.Timer{s.stopTimer, s.hedgeTimer, s.stopNearTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	for _, e := range s.events.close() {
		if e.result != nil {
			e.result.Close()
		}
	}
	for _, a := range s.active {
		a.stopTimers()
		a.cancel(errRequestEnded)
		s.entry.config.Chooser.Finish(a.host, choose.Observation{Kind: choose.Ended})
	}
	if s.fallback != nil {
		s.fallback.Close()
	}
}

// errRequestEnded is the cancellation cause of an attempt that is in flight when its request has ended.
var errRequestEnded = errors.New("request has ended")

// takeFallback returns the fallback and clears it, so that end does not close it.
func (s *session) takeFallback() *link.Result {
	result := s.fallback
	s.fallback = nil
	return result
}

// mayContinue reports whether another attempt may be made after all earlier ones have ended.
func (s *session) mayContinue() bool {
	return !s.stopped && !s.quarantined && (s.runs == 0 || s.mayRepeat())
}

// stopAttempts cancels the selected attempts and permits no further ones, so that the caller gets an answer before a
// planned stop.
func (s *session) stopAttempts(which func(*attempt) bool) {
	s.stopped = true
	for _, a := range s.active {
		if which(a) {
			a.cancel(errStopping)
		}
	}
}

// errStopping is the cancellation cause of an attempt that stopAttempts cancels.
var errStopping = errors.New("daemon is stopping")

// mayRepeat reports whether another attempt may be made beside or after one that may have run.
func (s *session) mayRepeat() bool {
	req := s.request
	if !req.route.Idempotent || !req.body.Whole() || s.quarantined || s.stopped {
		return false
	}
	return s.repeatRefusals < maxRepeatRefusals && s.runs+len(s.active) < req.route.MaxAttempts && s.timeForRepeat()
}

// timeForRepeat reports whether a repeat can be answered in time. One that cannot would waste the retry budget.
func (s *session) timeForRepeat() bool {
	usual := s.entry.worktimes.Mean(s.request.route.ID)
	return s.timeLeft() >= max(minRepeatTime, time.Duration(minRepeatWorkShare*float64(usual)))
}

// timeLeft returns the time until the request's deadline or the end of a planned stop, which is what the next attempt gets: its
// target then answers before the stop would break it off. Unlike the timers of the runtime, it counts
// the time for which the machine was suspended.
func (s *session) timeLeft() time.Duration {
	left := s.request.expires.Sub(s.entry.config.Clock.Now())
	if ends := s.entry.config.StopEnds(); !ends.IsZero() {
		left = min(left, time.Until(ends))
	}
	return left
}
