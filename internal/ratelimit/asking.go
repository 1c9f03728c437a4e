package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// prefetchHorizon is the time for which an entry prefetches the expected demand.
	prefetchHorizon = 500 * time.Millisecond
	// prefetchLead is the time whose expected demand the remaining tokens have to
	// exceed; otherwise the entry prefetches, so that they last for a round trip.
	prefetchLead = 100 * time.Millisecond
	// prefetchBackoff is the pause after a home granted no tokens to prefetch.
	prefetchBackoff = 200 * time.Millisecond
)

// requestTokens serves waiting callers from local tokens and requests tokens for the
// others from the nearest home that may have some. Without such a home, callers
// that cannot be served before their deadline are denied.
func (e *Entry) requestTokens(now clock.Time, b *balance) {
	e.serve(now, b)
	need := b.uncoveredWaiters()
	if need == 0 {
		return
	}
	if v := b.bestHome(now); v != nil {
		e.call(now, b, v, need, need+b.demand.expectedIn(now, prefetchHorizon))
		return
	}
	if e.canCollect(now, b) {
		e.startCollection(now, b)
	}
	if !b.hasInFlight() {
		e.denyUnservable(now, b)
	}
}

// serve admits waiting callers in order while local tokens last.
func (e *Entry) serve(now clock.Time, b *balance) {
	for len(b.waiters) > 0 {
		until, ok := e.take(now, b)
		if !ok {
			return
		}
		e.resolve(b, Resolution{Waiter: b.waiters[0].id, Until: until})
	}
}

// prefetch requests tokens in advance when the remaining ones are not expected to
// last for a round trip.
func (e *Entry) prefetch(now clock.Time, b *balance) {
	target := b.demand.expectedIn(now, prefetchHorizon)
	left := b.remaining(now)
	if target == 0 || left > b.demand.expectedIn(now, prefetchLead) {
		return
	}
	for i := range b.homes {
		v := &b.homes[i]
		if e.isLocal(v) && v.ready(now) {
			return
		}
		if v.ready(now) && !now.Before(v.nextPrefetchAt) {
			e.call(now, b, v, 0, target-left)
			return
		}
	}
}

// isLocal reports whether the home is in the entry's own daemon.
func (e *Entry) isLocal(v *homeView) bool {
	return v.host == e.config.Self && e.config.Local != nil
}

// call requests tokens: need for waiting callers, want in all.
func (e *Entry) call(now clock.Time, b *balance, v *homeView, need, want int) {
	v.inFlightNeed = need
	e.send(now, b, v, Request{Need: need, Want: want})
}

// send adds a call to the outbox that expects a reply, with all reports for the home.
func (e *Entry) send(now clock.Time, b *balance, v *homeView, request Request) {
	e.nextID++
	v.inFlight = e.nextID
	v.sentAt = now
	v.state.extendBackoff(now)
	request.ID = e.nextID
	request.Customer = b.customer
	request.Reports = append(b.reports(now, v.host), v.report(now)...)
	e.outbox.Calls = append(e.outbox.Calls, Call{Home: v.host, Request: request})
}

// resolve ends the wait of the first waiting caller.
func (e *Entry) resolve(b *balance, r Resolution) {
	b.waiters = b.waiters[1:]
	if len(b.waiters) == 0 {
		b.waiters = nil
	}
	e.outbox.Resolved = append(e.outbox.Resolved, r)
}

// expectedWait returns the expected wait of a caller behind n others, and whether
// every home is unavailable. While a request is in flight or can be sent, tokens
// may be available at once, so the wait for the first one counts as zero.
func (e *Entry) expectedWait(now clock.Time, b *balance, n int) (time.Duration, bool) {
	at, failed := b.nextToken()
	if b.hasInFlight() || !now.Before(b.nextReady()) {
		at, failed = now, false
	}
	behind := timeToEarn(max(b.limit.Rate, 1), tokens(n))
	return min(max(at.Sub(now), 0), infiniteWait) + behind, failed
}

// earlyRefusal returns the refusal of a new caller that cannot be served in time, or nil.
func (e *Entry) earlyRefusal(now clock.Time, b *balance) *DeniedError {
	if e.canCollect(now, b) {
		return nil
	}
	ahead := len(b.waiters)
	if b.hasInFlight() || !now.Before(b.nextReady()) {
		ahead = max(ahead-b.limit.Burst, 0)
	}
	wait, failed := e.expectedWait(now, b, ahead)
	if wait <= e.config.MaxWait {
		return nil
	}
	return newDenied(wait, failed)
}

// denyUnservable denies the waiting callers that cannot be served before their
// deadlines.
func (e *Entry) denyUnservable(now clock.Time, b *balance) {
	var kept []waiter
	for _, w := range b.waiters {
		wait, failed := e.expectedWait(now, b, len(kept))
		if w.deadline.Before(now.Add(wait)) {
			e.outbox.Resolved = append(e.outbox.Resolved, Resolution{Waiter: w.id, Denied: newDenied(wait, failed)})
			continue
		}
		kept = append(kept, w)
	}
	b.waiters = kept
}

// newDenied returns the refusal for an expected wait; an infinite one is unknown.
func newDenied(wait time.Duration, failed bool) *DeniedError {
	if wait >= infiniteWait {
		wait = 0
	}
	return &DeniedError{RetryAfter: wait, Unreachable: failed}
}
