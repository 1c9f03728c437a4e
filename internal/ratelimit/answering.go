package ratelimit

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// HandleReply applies a home's reply. Duplicate replies and replies to a request that
// is no longer in flight are ignored: their tokens stay unused until the home's
// hold ends.
func (e *Entry) HandleReply(now clock.Time, customer id.CustomerID, home id.HostID, reply Reply) {
	b, v := e.lookupInFlight(customer, home, reply.ID)
	if v == nil {
		return
	}
	sentAt, need := v.sentAt, v.inFlightNeed
	v.inFlight, v.inFlightNeed = 0, 0
	v.failed = reply.Status != StatusOK
	if v.failed {
		v.backoffUntil = now.Add(failureBackoff)
	}
	if reply.Status == StatusUnconfirmed {
		v.state.recordFailure(now)
	} else {
		v.state.recordReply()
	}
	if b.collection.awaits(reply.ID) {
		v.level, v.levelAt = reply.Level, now
		b.collection.add(v, reply)
		e.collect(now, b)
		e.requestTokens(now, b)
		e.schedule(now, b)
		return
	}
	v.tokenAt = 0
	if reply.RetryAfter > 0 && need > 0 {
		v.markEmpty(now, reply.RetryAfter)
	}
	if !v.failed {
		v.level, v.levelAt = reply.Level, now
	}
	if reply.Tokens == 0 {
		v.nextPrefetchAt = now.Add(prefetchBackoff)
	}
	if reply.Tokens > 0 {
		b.add(grant{
			home: home, id: reply.Grant, tokens: reply.Tokens,
			expiry: sentAt.Add(GrantValidity), reportWithin: reply.ReportWithin,
		})
	}
	v.immediateGrant, v.immediateSpent, v.immediateSpentAt = reply.ImmediateGrant, reply.Immediate, now
	if now.Sub(sentAt) <= ImmediateValidity {
		e.serveImmediate(now, b, reply.Immediate)
	}
	e.requestTokens(now, b)
	e.schedule(now, b)
}

// serveImmediate spends n tokens on waiting callers. Tokens for callers that have
// left are wasted: they are reported to the home as spent.
func (e *Entry) serveImmediate(now clock.Time, b *balance, n int) {
	for ; n > 0 && len(b.waiters) > 0; n-- {
		e.resolve(b, Resolution{Waiter: b.waiters[0].id, Until: now.Add(admissionValidity)})
	}
}

// HandleFailure records that a request was not answered in time or could not be sent.
func (e *Entry) HandleFailure(now clock.Time, customer id.CustomerID, home id.HostID, requestID uint64) {
	b, v := e.lookupInFlight(customer, home, requestID)
	if v == nil {
		return
	}
	v.inFlight, v.inFlightNeed = 0, 0
	v.failed = true
	v.state.recordFailure(now)
	v.backoffUntil = now.Add(failureBackoff)
	if b.collection.awaits(requestID) {
		e.collect(now, b)
	}
	e.requestTokens(now, b)
	e.schedule(now, b)
}

// lookupInFlight returns the state that belongs to a request in flight, or nil.
func (e *Entry) lookupInFlight(customer id.CustomerID, home id.HostID, requestID uint64) (*balance, *homeView) {
	b := e.balances[customer]
	if b == nil {
		return nil, nil
	}
	v := b.view(home)
	if v == nil || v.inFlight == 0 || v.inFlight != requestID {
		return nil, nil
	}
	return b, v
}

// NextDue returns when Tick next has work to do, and whether there is any.
func (e *Entry) NextDue() (clock.Time, bool) {
	if len(e.timers) == 0 {
		return 0, false
	}
	return e.timers[0].due, true
}

// Tick does the work that is due: it sends reports, returns unspent tokens, denies
// callers past their deadlines and removes the state of idle customers.
func (e *Entry) Tick(now clock.Time) {
	for len(e.timers) > 0 && !now.Before(e.timers[0].due) {
		e.process(now, e.timers[0])
	}
}

// process does the work that is due for one customer.
func (e *Entry) process(now clock.Time, b *balance) {
	e.flush(now, b)
	e.requestTokens(now, b)
	for len(b.waiters) > 0 && !now.Before(b.waiters[0].deadline) {
		wait, failed := e.expectedWait(now, b, 0)
		e.resolve(b, Resolution{Waiter: b.waiters[0].id, Denied: newDenied(wait, failed)})
	}
	if b.idle() && now.Sub(b.demand.last) >= idleAfter {
		e.timers.remove(b)
		delete(e.balances, b.customer)
		return
	}
	e.schedule(now, b)
}

// flush sends the reports and returns that are due. A spent grant without a due
// report is dropped at its closing time, because its hold at the home ends anyway.
func (e *Entry) flush(now clock.Time, b *balance) {
	b.grants = slices.DeleteFunc(b.grants, func(g grant) bool {
		return !now.Before(g.closesAt()) && g.spent == g.tokens && g.reportDue == 0
	})
	for i := 0; i < len(b.grants); i++ {
		g := b.grants[i]
		if now.Before(g.dueAt()) {
			continue
		}
		e.nextID++
		request := Request{ID: e.nextID, Customer: b.customer, Reports: b.reports(now, g.home)}
		if len(request.Reports) > 0 {
			e.outbox.Calls = append(e.outbox.Calls, Call{Home: g.home, Request: request})
		}
		i = -1
	}
}

// schedule sets when the customer is processed next.
func (e *Entry) schedule(now clock.Time, b *balance) {
	due := b.demand.last.Add(idleAfter)
	if !b.idle() {
		due = now.Add(idleAfter)
	}
	for i := range b.grants {
		due = min(due, b.grants[i].dueAt())
	}
	if len(b.waiters) > 0 {
		due = min(due, b.waiters[0].deadline)
		if at := b.nextReady(); at > now {
			due = min(due, at)
		}
	}
	e.timers.set(b, due)
}
