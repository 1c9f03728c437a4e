package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
	"buckthornlatch.example/buckthornlatch/internal/problem"
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
	// patienceShare is the largest part of the time left that a request waits for a slot at one host.
	patienceShare = 0.3
	// nestedPatienceShare is that of a nested request, whose refusal wastes the work of the target that made it.
	nestedPatienceShare = 0.75
	// defaultRetryAfter is the advice when no gate told when it may have room.
	defaultRetryAfter = 400 * time.Millisecond
)

// try is one attempt for the log.
type try struct {
	Host    id.HostID   `json:"host"`
	Verdict hop.Verdict `json:"verdict"`
	Reason  link.Reason `json:"reason"`
	TookMS  int64       `json:"took_ms"`
}

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

// attempt is one attempt in flight.
type attempt struct {
	host   id.HostID
	sentAt time.Time
	cancel context.CancelCauseFunc
	// silence ends the attempt when its host does not show that it has it.
	silence *time.Timer
	// running says that the attempt has a slot, hopeless that its gate would give it up.
	running  bool
	hopeless bool
	// runningSince is when the attempt got its slot.
	runningSince time.Time
}

// eventKind says what happened to an attempt.
type eventKind uint8

const (
	ended eventKind = iota
	started
	overdue
	hopeless
	silent
)

// event is something that happened to an attempt.
type event struct {
	kind    eventKind
	attempt *attempt
	result  *link.Result
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
	stopping := s.entry.config.Stopping
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
			s.giveUp()
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
		a.silence.Stop()
		a.cancel(errNotNeeded)
		s.entry.config.Chooser.Finish(a.host, choose.Report{Kind: choose.Ended})
	}
	if s.fallback != nil {
		s.fallback.Close()
	}
}

// dropHopeless cancels the attempts that their gates would give up, once another attempt runs or if there cannot be
// one. A planned stop must not cost callers their answers, so that a stopping entry lets everything run.
func (s *session) dropHopeless() {
	if s.entry.config.Draining() {
		return
	}
	replaced := false
	for _, a := range s.active {
		replaced = replaced || (a.running && !a.hopeless)
	}
	for _, a := range s.active {
		if a.hopeless && (replaced || (len(s.active) == 1 && !s.mayRepeat())) {
			a.cancel(errHopeless)
		}
	}
}

// errHopeless ends an attempt that others need the slot of.
var errHopeless = errors.New("the attempt was given up for others")

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
	return !s.stopped && (s.runs == 0 || s.mayRepeat())
}

// giveUp ends all attempts before the process does, so that the caller learns what became of its request.
func (s *session) giveUp() {
	s.stopped = true
	for _, a := range s.active {
		a.cancel(errStopping)
	}
}

// errStopping ends an attempt because its entry's process ends.
var errStopping = errors.New("the daemon is stopping")

// mayRepeat reports whether the request may be attempted beside or after an attempt that may have run.
func (s *session) mayRepeat() bool {
	q := s.query
	return q.route.Idempotent && q.body.Repeatable() && s.repeatRefusals < maxRepeatRefusals && !s.stopped && s.runs+len(s.active) < q.route.MaxAttempts
}

// next starts an attempt at the best host that is left, and reports whether there was one.
func (s *session) next(ctx context.Context) bool {
	if !s.query.body.Repeatable() && len(s.asked) > 0 {
		return false
	}
	chooser := s.entry.config.Chooser
	if s.fullAsked < maxFull && len(s.asked) < maxAsked {
		if host, ok := chooser.Start(s.query.service, s.asked); ok {
			s.asked = append(s.asked, host)
			s.start(ctx, host, s.firstPatience(), false)
			return true
		}
	}
	if s.waits < maxWaits {
		if host, ok := chooser.StartLeast(s.full); ok {
			s.full = slices.DeleteFunc(s.full, func(h id.HostID) bool { return h == host })
			s.waits++
			s.start(ctx, host, s.patience(), false)
			return true
		}
	}
	if host, ok := chooser.StartLeast(s.suspected); ok {
		s.suspected = slices.DeleteFunc(s.suspected, func(h id.HostID) bool { return h == host })
		s.start(ctx, host, s.patience(), true)
		return true
	}
	return false
}

// firstPatience is the wait at a host that is asked first. A body that cannot be sent twice has only one try.
func (s *session) firstPatience() time.Duration {
	if s.query.body.Repeatable() {
		return 0
	}
	return s.patience()
}

// patience returns how long the request may wait for a slot at one host.
func (s *session) patience() time.Duration {
	share := patienceShare
	if s.query.nested() {
		share = nestedPatienceShare
	}
	return time.Duration(share * float64(time.Until(s.query.deadline)))
}

// start makes an attempt at a host that the chooser counts as started.
func (s *session) start(ctx context.Context, host id.HostID, patience time.Duration, forced bool) {
	q := s.query
	if s.arrivals > 0 || len(s.active) > 0 {
		s.entry.config.Metrics.Repeat()
	}
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{host: host, sentAt: time.Now(), cancel: cancel}
	a.silence = time.AfterFunc(acceptWithin, func() { s.tell(event{kind: silent, attempt: a}) })
	s.active[host] = a
	message := &link.Attempt{
		RequestID: q.requestID, Service: q.service, Caller: s.entry.config.Service, Route: q.route.ID,
		Customer: q.customerID(), Rank: q.rank(), Nested: q.nested(), Idempotent: q.route.Idempotent,
		Repeat: s.arrivals > 0 || len(s.active) > 1, Forced: forced,
		Remaining: time.Until(q.deadline), Objective: s.objective(), Patience: patience,
		OverdueAfter: s.entry.worktimes.OverdueAfter(q.route.ID), Policy: q.policy.Version(),
		Method: q.request.Method, URI: q.request.RequestURI, Host: q.request.Host, Header: q.header,
		Body: q.body,
	}
	go func() {
		result := s.entry.config.Sender.Send(ctx, host, message, &signals{session: s, attempt: a})
		if !s.tell(event{kind: ended, attempt: a, result: result}) {
			result.Close()
		}
		if result.Rest == nil {
			cancel(nil)
		}
	}()
}

// objective returns the time left until the answer loses worth.
func (s *session) objective() time.Duration {
	if s.query.route.Objective <= 0 {
		return time.Until(s.query.deadline)
	}
	return time.Until(s.query.started.Add(s.query.route.Objective))
}

// tell passes an event on unless the session has ended.
func (s *session) tell(e event) bool {
	select {
	case s.events <- e:
		return true
	case <-s.stop:
		return false
	}
}

// signals turns a gate's signals into events.
type signals struct {
	session *session
	attempt *attempt
}

// Queued implements link.Signals.
func (s *signals) Queued() {
	s.attempt.silence.Stop()
}

// Started implements link.Signals.
func (s *signals) Started() {
	s.attempt.silence.Stop()
	go s.session.tell(event{kind: started, attempt: s.attempt})
}

// Overdue implements link.Signals.
func (s *signals) Overdue() {
	go s.session.tell(event{kind: overdue, attempt: s.attempt})
}

// Hopeless implements link.Signals.
func (s *signals) Hopeless() {
	go s.session.tell(event{kind: hopeless, attempt: s.attempt})
}

// handle takes an event into account. It returns the answer when there is one.
func (s *session) handle(ctx context.Context, e event) (*link.Result, bool) {
	switch e.kind {
	case silent:
		if s.active[e.attempt.host] == e.attempt {
			e.attempt.cancel(link.ErrSilent)
		}
	case overdue:
		if s.active[e.attempt.host] == e.attempt {
			s.entry.config.Chooser.Report(e.attempt.host, choose.Report{Kind: choose.Overdue})
			s.hedge(ctx)
		}
	case started:
		e.attempt.running, e.attempt.runningSince = true, time.Now()
		s.dropHopeless()
	case hopeless:
		if s.active[e.attempt.host] == e.attempt {
			e.attempt.hopeless = true
			s.hedge(ctx)
			s.dropHopeless()
		}
	case ended:
		return s.ended(e.attempt, e.result)
	}
	return nil, false
}

// hedge starts to look for another host beside an attempt that is overdue. All hosts but those in use are asked anew,
// since what they told when the request came is out of date.
func (s *session) hedge(ctx context.Context) {
	if s.hedging || !s.mayRepeat() {
		return
	}
	s.hedging = true
	s.asked, s.full, s.suspected, s.waits, s.fullAsked = nil, nil, nil, 0, 0
	for host := range s.active {
		s.asked = append(s.asked, host)
	}
	s.next(ctx)
}

// ended takes the end of an attempt into account.
func (s *session) ended(a *attempt, result *link.Result) (*link.Result, bool) {
	a.silence.Stop()
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
	case r.Reason == link.NotConnected, errors.Is(r.Err, link.ErrSilent):
		report.Kind = choose.Unreachable
	case r.Reason == link.Reason(slots.Full), r.Reason == link.Reason(slots.TooLate), r.Reason == link.Reason(slots.RepeatsUsedUp):
		report.Kind = choose.Busy
	case r.Reason == link.Ended, r.Reason == link.OutOfTime, r.Reason == link.BodyBroken:
		report.Kind = choose.Ended
	case r.Reason == link.LinkBroken:
		report.Kind = choose.Unreachable
	default:
		report.Kind = choose.Declined
	}
	return report
}

// timedOut ends a request whose time is up or whose caller is gone.
func (s *session) timedOut() (*link.Result, *refusal) {
	if s.fallback != nil {
		return s.takeFallback(), nil
	}
	if s.runs == 0 && !s.mayBeRunning() {
		return nil, s.exhausted()
	}
	return nil, &refusal{code: problem.OutcomeUnknown, status: http.StatusGatewayTimeout, maybeRan: true}
}

// mayBeRunning reports whether an attempt in flight may have reached a target.
func (s *session) mayBeRunning() bool {
	return len(s.active) > 0
}

// exhausted refuses a request for which no host is left.
func (s *session) exhausted() *refusal {
	if s.runs > 0 {
		return &refusal{code: problem.OutcomeUnknown, maybeRan: true}
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
