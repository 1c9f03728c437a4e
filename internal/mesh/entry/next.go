package entry

import (
	"context"
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// startNext starts an attempt at the best remaining host and reports whether there was one. It prefers hosts that were
// not tried yet, then queues at full ones, then forces an attempt on a suspected target.
func (s *session) startNext(ctx context.Context) bool {
	if !s.request.body.Replayable() && len(s.tried) > 0 {
		return false
	}
	if s.timeLeft() <= 0 || hangup.Left(ctx) {
		return false
	}
	chooser := s.entry.config.Chooser
	if s.fullRefusals < maxFullRefusals && len(s.tried) < maxHostsTried {
		if host, ok := chooser.Start(s.query()); ok {
			s.tried = append(s.tried, host)
			s.start(ctx, host, 0, false)
			return true
		}
	}
	if s.queueWaits < maxQueueWaits {
		if host, ok := chooser.StartAmong(s.fullHosts); ok {
			s.fullHosts = slices.DeleteFunc(s.fullHosts, func(h id.HostID) bool { return h == host })
			s.start(ctx, host, s.waitAtFull(host), false)
			return true
		}
	}
	if host, ok := chooser.StartAmong(s.suspectedHosts); ok {
		s.suspectedHosts = slices.DeleteFunc(s.suspectedHosts, func(h id.HostID) bool { return h == host })
		s.start(ctx, host, s.queueWait(), true)
		return true
	}
	return false
}

// queueWait returns how long the request may wait for a slot at one host. A nested request may wait for most of the
// time left. Any other waits, within its share of that time, only while it can meet its objective but at least for
// minQueueWait, so that its caller gets an early refusal when there is no room.
func (s *session) queueWait() time.Duration {
	left := s.timeLeft()
	if s.request.nested() {
		return time.Duration(nestedQueueWaitShare * float64(left))
	}
	inTime := s.objective() - s.entry.worktimes.Mean(s.request.route.ID)
	return min(time.Duration(maxQueueWaitShare*float64(left)), max(inTime, minQueueWait))
}

// patienceShare is the share of the time that a request has to spare which it may wait for a slot in the failure domain
// instead of leaving. It leaves most of that time for another attempt.
const patienceShare = 0.125

// maxPatience bounds the patience of requests without an objective.
const maxPatience = time.Second

// query describes the host that the next attempt needs. A nested request has no patience: its wait also holds up the
// request that the target is working on.
func (s *session) query() choose.Query {
	q := choose.Query{
		Service: s.request.service, Exclude: s.tried, Refused: slices.Concat(s.fullHosts, s.suspectedHosts), Draw: s.draw,
		Regions: s.request.regions,
	}
	if !s.request.nested() {
		spare := min(s.objective(), s.timeLeft()) - s.entry.worktimes.Mean(s.request.route.ID)
		q.Patience = min(max(time.Duration(patienceShare*float64(spare)), 0), maxPatience)
	}
	return q
}

// waitAtFull returns how long the request waits at a full host. The first time, if it may gain by leaving the failure
// domain, it waits for no longer than leaving costs: a gate refuses at once what it expects to wait for longer. After a
// first wait in vain inside it may leave in any case, since it would be lost otherwise.
func (s *session) waitAtFull(host id.HostID) time.Duration {
	wait := s.queueWait()
	limit, leaves := s.entry.config.Chooser.StayLimit(host, s.query())
	if s.stayed || !leaves {
		s.queueWaits++
		return wait
	}
	s.stayed, s.draw = true, 0
	// One refusal is that of the wait, so that one host outside may be asked after it.
	s.fullRefusals = min(s.fullRefusals, maxFullRefusals-2)
	if limit >= wait {
		s.queueWaits++
	}
	return min(wait, limit)
}

// start sends an attempt to a host. The chooser already counts the attempt as in flight.
func (s *session) start(ctx context.Context, host id.HostID, queueWait time.Duration, forced bool) {
	req := s.request
	if s.arrivals > 0 || len(s.active) > 0 {
		s.entry.config.Metrics.Repeat()
	}
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{host: host, sentAt: time.Now(), queued: queueWait > 0, cancel: cancel}
	a.acceptTimer = time.AfterFunc(acceptTimeout, func() { s.emit(event{kind: eventAcceptTimeout, attempt: a}) })
	s.active[host] = a
	message := &link.Attempt{
		RequestID: req.requestID, Service: req.service, Caller: s.entry.config.Service, Route: req.route.ID,
		Customer: req.customerID(), Rank: req.rank(), Nested: req.nested(), Idempotent: req.route.Idempotent,
		Repeat: s.arrivals > 0 || len(s.active) > 1, Forced: forced,
		HoldBody: s.entry.config.Chooser.IsUnreachable(host), Remaining: s.timeLeft(), Objective: s.objective(), MaxQueueWait: queueWait,
		OverdueAfter: s.entry.worktimes.OverdueAfter(req.route.ID), Policy: req.policy.Version(),
		CustomerWork: s.customerWork(),
		Method:       req.httpRequest.Method, URI: req.httpRequest.RequestURI, Host: req.httpRequest.Host, Header: req.header,
		Body: req.body, Release: func() bool { return s.mayRelease(ctx) && a.acceptance.acknowledge() },
	}
	go func() {
		result := s.entry.config.Sender.Send(ctx, host, message, &signals{session: s, attempt: a})
		if !s.emit(event{kind: eventEnded, attempt: a, result: result}) {
			result.Close()
		}
		if result.Rest == nil {
			cancel(nil)
		}
	}()
}

// customerWork returns the recent work of the request's customer in attempts of this entry.
func (s *session) customerWork() time.Duration {
	if s.request.customer == nil {
		return 0
	}
	return s.entry.customerWork.Of(s.entry.config.Clock.Now(), s.request.customer.ID)
}

// recordCustomerWork adds the work of an attempt that has ended to that of the request's customer.
func (s *session) recordCustomerWork(a *attempt, ended time.Time) {
	if s.request.customer != nil && !a.runningSince.IsZero() {
		s.entry.customerWork.Add(s.entry.config.Clock.Now(), s.request.customer.ID, ended.Sub(a.runningSince))
	}
}

// mayRelease reports whether the body of an attempt may leave this host. After a pause of the process, its gate may ask for it
// before the timer of the request's deadline has fired.
func (s *session) mayRelease(ctx context.Context) bool {
	return s.timeLeft() > 0 && !hangup.Left(ctx)
}

// objective returns the time left to meet the route's objective, or until the deadline if the route has none.
func (s *session) objective() time.Duration {
	if s.request.route.Objective <= 0 {
		return s.timeLeft()
	}
	return time.Until(s.request.started.Add(s.request.route.Objective))
}
