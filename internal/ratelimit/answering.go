package ratelimit

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Answered applies a home's reply. Repeated and late replies are ignored: their
// tokens stay unused until the home's hold ends.
func (e *Entry) Answered(now clock.Time, customer id.CustomerID, home id.HostID, reply Reply) {
	b, v := e.unanswered(customer, home, reply.ID)
	if v == nil {
		return
	}
	sentAt, asked := v.sentAt, v.asked
	v.inFlight, v.asked = 0, 0
	v.failed = reply.Status != StatusOK
	if v.failed {
		v.emptyUntil = now.Add(failureBackoff)
	}
	if reply.Status == StatusUnconfirmed {
		v.state.failed(now)
	} else {
		v.state.answered()
	}
	if b.collection.awaits(reply.ID) {
		v.level, v.levelAt = reply.Level, now
		b.collection.add(v, reply)
		e.collect(now, b)
		e.ask(now, b)
		e.schedule(now, b)
		return
	}
	v.tokenAt = 0
	if reply.RetryAfter > 0 && asked > 0 {
		v.empty(now, reply.RetryAfter)
	}
	if !v.failed {
		v.level, v.levelAt = reply.Level, now
	}
	if reply.Tokens == 0 {
		v.prefetchFrom = now.Add(prefetchBackoff)
	}
	if reply.Tokens > 0 {
		b.add(grant{
			home: home, id: reply.Grant, tokens: reply.Tokens,
			expiry: sentAt.Add(GrantValidity), reportWithin: reply.ReportWithin,
		})
	}
	v.spent, v.tokens, v.spentAt = reply.ImmediateGrant, reply.Immediate, now
	if now.Sub(sentAt) <= ImmediateValidity {
		e.serveImmediate(now, b, reply.Immediate)
	}
	e.ask(now, b)
	e.schedule(now, b)
}

// serveImmediate gives n tokens to waiting callers. Tokens for callers that left
// are lost: the home does not hear of them.
func (e *Entry) serveImmediate(now clock.Time, b *balance, n int) {
	for ; n > 0 && len(b.waiters) > 0; n-- {
		e.resolve(b, Resolution{Waiter: b.waiters[0].id, Until: now.Add(admissionValidity)})
	}
}

// Failed notes that a request was not answered in time or could not be sent.
func (e *Entry) Failed(now clock.Time, customer id.CustomerID, home id.HostID, requestID uint64) {
	b, v := e.unanswered(customer, home, requestID)
	if v == nil {
		return
	}
	v.inFlight, v.asked = 0, 0
	v.failed = true
	v.state.failed(now)
	v.emptyUntil = now.Add(failureBackoff)
	if b.collection.awaits(requestID) {
		e.collect(now, b)
	}
	e.ask(now, b)
	e.schedule(now, b)
}

// unanswered returns the state that belongs to an unanswered request, or nil.
func (e *Entry) unanswered(customer id.CustomerID, home id.HostID, requestID uint64) (*balance, *homeView) {
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

// NextDue returns when Tick has work, and whether it will have any.
func (e *Entry) NextDue() (clock.Time, bool) {
	if len(e.timers) == 0 {
		return 0, false
	}
	return e.timers[0].due, true
}

// Tick does what is due: reports, returns of unspent tokens, denials of callers
// whose time is up, and forgetting idle customers.
func (e *Entry) Tick(now clock.Time) {
	for len(e.timers) > 0 && !now.Before(e.timers[0].due) {
		e.attend(now, e.timers[0])
	}
}

// attend does what is due for one customer.
func (e *Entry) attend(now clock.Time, b *balance) {
	e.flush(now, b)
	e.ask(now, b)
	for len(b.waiters) > 0 && !now.Before(b.waiters[0].deadline) {
		wait, failed := e.wait(now, b, 0)
		e.resolve(b, Resolution{Waiter: b.waiters[0].id, Denied: denied(wait, failed)})
	}
	if b.idle() && now.Sub(b.demand.last) >= idleAfter {
		e.timers.remove(b)
		delete(e.balances, b.customer)
		return
	}
	e.schedule(now, b)
}

// flush sends the due reports and returns. A grant that is used up and whose
// home wants no early report needs none: its hold ends by itself.
func (e *Entry) flush(now clock.Time, b *balance) {
	b.grants = slices.DeleteFunc(b.grants, func(g grant) bool {
		return !now.Before(g.closing()) && g.spent == g.tokens && g.reportDue == 0
	})
	for i := 0; i < len(b.grants); i++ {
		g := b.grants[i]
		if now.Before(g.due()) {
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

// schedule sets the time of the next attention.
func (e *Entry) schedule(now clock.Time, b *balance) {
	due := b.demand.last.Add(idleAfter)
	if !b.idle() {
		due = now.Add(idleAfter)
	}
	for i := range b.grants {
		due = min(due, b.grants[i].due())
	}
	if len(b.waiters) > 0 {
		due = min(due, b.waiters[0].deadline)
		if at := b.nextReady(); at > now {
			due = min(due, at)
		}
	}
	e.timers.set(b, due)
}
