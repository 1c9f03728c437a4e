package entry

import (
	"context"
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

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

// patience returns how long the request may wait for a slot at one host. A nested request may use up most of its time; any
// other waits only while it can meet its objective, so that its caller learns soon that there is no room.
func (s *session) patience() time.Duration {
	left := time.Until(s.query.deadline)
	if s.query.nested() {
		return time.Duration(nestedPatienceShare * float64(left))
	}
	inTime := s.objective() - s.entry.worktimes.Mean(s.query.route.ID)
	return min(time.Duration(patienceShare*float64(left)), max(inTime, leastPatience))
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
		HoldBack: s.entry.config.Chooser.Unreached(host), Remaining: time.Until(q.deadline), Objective: s.objective(), Patience: patience,
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
