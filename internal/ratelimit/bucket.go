package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// bucket is a home's token bucket for one customer.
type bucket struct {
	// share is the assigned share. effective is the limit that applies now; it
	// differs from the share's while pending, when other homes may still use an
	// older split.
	share     Share
	effective Limit
	pending   bool
	// settledAt is when the older split was first known to be out of use; zero before.
	settledAt clock.Time
	level     MicroTokens
	// prefetched are the grants that entries may keep for GrantValidity, immediate
	// those that they spend within ImmediateValidity or not at all.
	prefetched outstandingGrants
	immediate  outstandingGrants
	// creditedUntil is the time up to which refill was credited. It does not advance
	// while outstanding tokens fill the bucket, so that a late report of a spend
	// still credits the refill since that spend.
	creditedUntil clock.Time
}

// outstanding returns the amount that entries may still spend.
func (b *bucket) outstanding() MicroTokens {
	return b.prefetched.total + b.immediate.total
}

// room returns how much the bucket may still refill.
func (b *bucket) room() MicroTokens {
	return b.effective.capacity() - b.level - b.outstanding()
}

// advance drops the grants whose hold has ended and refills up to now.
func (b *bucket) advance(now clock.Time) {
	for list := b.expired(now); list != nil; list = b.expired(now) {
		end := list.grants[0].holdEnd
		b.refill(end)
		b.skipTo(end)
		list.dropOldest()
	}
	b.refill(now)
	b.check()
}

// expired returns the list with the earliest hold that ended by now, or nil.
func (b *bucket) expired(now clock.Time) *outstandingGrants {
	held, immediate := b.prefetched.expired(now), b.immediate.expired(now)
	if immediate != nil && (held == nil || immediate.holdEnd < held.holdEnd) {
		return &b.immediate
	}
	if held != nil {
		return &b.prefetched
	}
	return nil
}

// refill credits the time since creditedUntil as far as there is room.
func (b *bucket) refill(now clock.Time) {
	rate := derated(b.effective.Rate)
	if now.Before(b.creditedUntil) {
		return
	}
	amount := earned(rate, now.Sub(b.creditedUntil), b.room())
	b.level += amount
	b.creditedUntil = b.creditedUntil.Add(min(timeToEarn(rate, amount), now.Sub(b.creditedUntil)))
	if b.room() <= 0 && b.outstanding() == 0 {
		b.creditedUntil = now
	}
}

// skipTo discards the uncredited time before at if the bucket is full, because a
// full bucket earns nothing. The caller has refilled up to at or later.
func (b *bucket) skipTo(at clock.Time) {
	if b.room() <= 0 && b.creditedUntil.Before(at) {
		b.creditedUntil = at
	}
}

// take removes an amount that is spent at now and reports whether the level
// covered it.
func (b *bucket) take(now clock.Time, amount MicroTokens) bool {
	if b.level < amount {
		return false
	}
	b.skipTo(now)
	b.level -= amount
	return true
}

// grant moves n tokens from the level to the prefetched grants.
func (b *bucket) grant(now clock.Time, sequence uint64, n int) {
	b.level -= tokens(n)
	b.prefetched.add(outstandingGrant{sequence: sequence, amount: tokens(n), holdEnd: now.Add(GrantHold)})
	b.check()
}

// grantImmediate moves an amount from the level to the immediate grants.
func (b *bucket) grantImmediate(now clock.Time, sequence uint64, amount MicroTokens) {
	b.level -= amount
	b.immediate.add(outstandingGrant{sequence: sequence, amount: amount, holdEnd: now.Add(immediateHold)})
	b.check()
}

// report applies an entry's report; the caller has advanced the bucket to now.
func (b *bucket) report(now clock.Time, r Report) {
	list := &b.prefetched
	g := list.find(r.Grant.Sequence)
	if g == nil {
		list = &b.immediate
		g = list.find(r.Grant.Sequence)
	}
	if g == nil || g.closed {
		return
	}
	if spent := min(tokens(max(r.Spent, 0)), g.amount); spent > g.spent {
		b.skipTo(now.Add(-minElapsed(max(r.Age, 0))))
		list.total -= spent - g.spent
		g.spent = spent
		b.refill(now)
	}
	g.closed = g.closed || g.spent == g.amount
	if r.Closed && !g.closed {
		unspent := g.unspent()
		g.closed = true
		list.total -= unspent
		b.level += min(unspent, max(b.room(), 0))
	}
	list.dropClosed()
	b.check()
}

// setEffective applies a limit from now on. Tokens in the bucket above a smaller
// capacity are discarded; outstanding grants above it stay until they expire.
func (b *bucket) setEffective(now clock.Time, limit Limit) {
	b.advance(now)
	b.skipTo(now)
	b.effective = limit
	b.level = max(min(b.level, limit.capacity()-b.outstanding()), 0)
	b.check()
}

// reset discards the level, the refill up to now and the effective limit.
func (b *bucket) reset(now clock.Time) {
	b.creditedUntil = max(b.creditedUntil, now)
	b.advance(now)
	b.level = 0
	b.effective = Limit{}
}

// activate applies the assigned share once no home grants under an older split and
// the grants made under it have expired. It reports whether it did.
func (b *bucket) activate(now clock.Time, duty Duty) bool {
	if b.settledAt == 0 && duty.Settled(b.share.Revision, now) {
		b.settledAt = max(now, 1)
	}
	if b.settledAt == 0 || now.Sub(b.settledAt) < GrantHold {
		return false
	}
	b.pending = false
	b.setEffective(now, b.share.Limit)
	return true
}

// timeToNextToken returns the time until the level reaches one more whole token.
func (b *bucket) timeToNextToken() time.Duration {
	return timeToEarn(derated(b.effective.Rate), tokens(b.level.whole()+1)-b.level)
}

// check asserts that the tokens that can be spent never exceed the capacity.
// After a reduction the outstanding grants alone may exceed it; the level is zero then.
func (b *bucket) check() {
	fits := b.level+b.outstanding() <= b.effective.capacity()
	invariant.Check(b.level >= 0 && b.prefetched.total >= 0 && b.immediate.total >= 0 && (fits || b.level == 0), "rate-capacity",
		"level %d + outstanding %d exceed capacity %d", b.level, b.outstanding(), b.effective.capacity())
}

// reportWithin returns how soon spends should be reported so that unreported ones
// occupy only a small part of the capacity. It is zero, for no early report, when
// the bucket is at least half full or the grants expire earlier.
func (b *bucket) reportWithin() time.Duration {
	if b.level*2 >= b.effective.capacity() {
		return 0
	}
	within := timeToEarn(derated(b.effective.Rate), b.effective.capacity()/reportDivisor)
	if within >= GrantValidity {
		return 0
	}
	return max(within, minReportWithin)
}
