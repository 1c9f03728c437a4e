package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// prefetchHorizon is the expected demand for which an entry asks in advance.
	prefetchHorizon = 500 * time.Millisecond
	// prefetchLead is the expected demand below which an entry asks again, so
	// that the tokens last for a round trip.
	prefetchLead = 100 * time.Millisecond
	// prefetchBackoff is the pause after a home had nothing to spare.
	prefetchBackoff = 200 * time.Millisecond
)

// ask serves waiting callers from the own home and asks the nearest home that
// can have tokens for the others. Without such a home, callers that cannot be
// served before their deadline are denied.
func (e *Entry) ask(now clock.Time, b *balance) {
	e.serve(now, b)
	need := b.unasked()
	if need == 0 {
		return
	}
	if v := b.best(now); v != nil {
		e.call(now, b, v, need, need+b.demand.within(now, prefetchHorizon))
		return
	}
	if e.collectable(now, b) {
		e.startCollection(now, b)
	}
	if !b.busy() {
		e.denyLate(now, b)
	}
}

// serve gives the tokens at hand to waiting callers in order.
func (e *Entry) serve(now clock.Time, b *balance) {
	for len(b.waiters) > 0 {
		until, ok := e.take(now, b)
		if !ok {
			return
		}
		e.resolve(b, Resolution{Waiter: b.waiters[0].id, Until: until})
	}
}

// prefetch asks in advance when the tokens at hand will not last for a round trip.
func (e *Entry) prefetch(now clock.Time, b *balance) {
	target := b.demand.within(now, prefetchHorizon)
	left := b.left(now)
	if target == 0 || left > b.demand.within(now, prefetchLead) {
		return
	}
	for i := range b.homes {
		v := &b.homes[i]
		if e.isLocal(v) && v.ready(now) {
			return
		}
		if v.ready(now) && !now.Before(v.prefetchFrom) {
			e.call(now, b, v, 0, target-left)
			return
		}
	}
}

// isLocal reports whether the home is in the entry's own daemon.
func (e *Entry) isLocal(v *homeView) bool {
	return v.host == e.config.Self && e.config.Local != nil
}

// call emits a request with all reports that are due to the home.
func (e *Entry) call(now clock.Time, b *balance, v *homeView, need, want int) {
	v.asked = need
	e.send(now, b, v, Request{Need: need, Want: want})
}

// send emits a request that will be answered, with all reports for the home.
func (e *Entry) send(now clock.Time, b *balance, v *homeView, request Request) {
	e.nextID++
	v.inFlight = e.nextID
	v.sentAt = now
	v.state.hold(now)
	request.ID = e.nextID
	request.Customer = b.customer
	request.Reports = append(b.reports(now, v.host), v.report(now)...)
	e.outbox.Calls = append(e.outbox.Calls, Call{Home: v.host, Request: request})
}

// resolve ends the wait of the first caller.
func (e *Entry) resolve(b *balance, r Resolution) {
	b.waiters = b.waiters[1:]
	if len(b.waiters) == 0 {
		b.waiters = nil
	}
	e.outbox.Resolved = append(e.outbox.Resolved, r)
}

// wait returns the expected wait of the caller behind n others, and whether no
// home answers. A home that is or can be asked may hold tokens, so it counts as
// no wait.
func (e *Entry) wait(now clock.Time, b *balance, n int) (time.Duration, bool) {
	at, failed := b.nextToken()
	if b.busy() || !now.Before(b.nextReady()) {
		at, failed = now, false
	}
	behind := timeFor(max(b.limit.Rate, 1), tokens(n))
	return min(max(at.Sub(now), 0), longest) + behind, failed
}

// hopeless returns the refusal of a new caller that cannot be served in time, or nil.
func (e *Entry) hopeless(now clock.Time, b *balance) *Denied {
	if e.collectable(now, b) {
		return nil
	}
	ahead := len(b.waiters)
	if b.busy() || !now.Before(b.nextReady()) {
		ahead = max(ahead-b.limit.Burst, 0)
	}
	wait, failed := e.wait(now, b, ahead)
	if wait <= e.config.MaxWait {
		return nil
	}
	return denied(wait, failed)
}

// denyLate denies the callers that cannot be served before their deadlines.
func (e *Entry) denyLate(now clock.Time, b *balance) {
	var kept []waiter
	for _, w := range b.waiters {
		wait, failed := e.wait(now, b, len(kept))
		if w.deadline.Before(now.Add(wait)) {
			e.outbox.Resolved = append(e.outbox.Resolved, Resolution{Waiter: w.id, Denied: denied(wait, failed)})
			continue
		}
		kept = append(kept, w)
	}
	b.waiters = kept
}

// denied returns the refusal for an expected wait.
func denied(wait time.Duration, failed bool) *Denied {
	if wait >= longest {
		wait = 0
	}
	return &Denied{RetryAfter: wait, Unreachable: failed}
}
