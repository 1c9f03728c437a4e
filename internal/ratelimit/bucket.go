package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// bucket is a home's state for one customer.
type bucket struct {
	// share is the wanted share; force is the limit in force, which differs
	// while waiting says that other homes may still use an older division.
	share   Share
	force   Limit
	waiting bool
	// settled is when the older division was first known to be out of use; zero before.
	settled clock.Time
	level   Micro
	// held are the grants that entries keep, immediate those that they spend on arrival.
	held      outstanding
	immediate outstanding
	// last is the time up to which refill was credited. It stays behind while
	// outstanding tokens fill the bucket: a report that some were spent earlier
	// then makes the time since that spend count.
	last clock.Time
}

// outstanding returns the tokens that entries may still spend.
func (b *bucket) outstanding() Micro {
	return b.held.total + b.immediate.total
}

// room returns how much the bucket may still refill.
func (b *bucket) room() Micro {
	return b.force.capacity() - b.level - b.outstanding()
}

// settle ends the holds that are over and refills up to now.
func (b *bucket) settle(now clock.Time) {
	for list := b.expired(now); list != nil; list = b.expired(now) {
		end := list.grants[0].until
		b.refill(end)
		b.skip(end)
		list.dropOldest()
	}
	b.refill(now)
	b.check()
}

// expired returns the list whose oldest hold ended first, if it ended by now, or nil.
func (b *bucket) expired(now clock.Time) *outstanding {
	held, immediate := b.held.expired(now), b.immediate.expired(now)
	if immediate != nil && (held == nil || immediate.until < held.until) {
		return &b.immediate
	}
	if held != nil {
		return &b.held
	}
	return nil
}

// refill credits the time since last as far as there is room.
func (b *bucket) refill(now clock.Time) {
	rate := derated(b.force.Rate)
	if now.Before(b.last) {
		return
	}
	amount := earned(rate, now.Sub(b.last), b.room())
	b.level += amount
	b.last = b.last.Add(min(timeFor(rate, amount), now.Sub(b.last)))
	if b.room() <= 0 && b.outstanding() == 0 {
		b.last = now
	}
}

// skip gives up the uncredited time before at, because the bucket was full then.
// The caller has refilled up to at or later.
func (b *bucket) skip(at clock.Time) {
	if b.room() <= 0 && b.last.Before(at) {
		b.last = at
	}
}

// take removes an amount that is spent at now and reports whether it was there.
func (b *bucket) take(now clock.Time, amount Micro) bool {
	if b.level < amount {
		return false
	}
	b.skip(now)
	b.level -= amount
	return true
}

// grant moves n tokens from the level to the outstanding ones.
func (b *bucket) grant(now clock.Time, sequence uint64, n int) {
	b.level -= tokens(n)
	b.held.add(heldGrant{sequence: sequence, amount: tokens(n), until: now.Add(GrantHold)})
	b.check()
}

// grantImmediate moves an amount that an entry spends on arrival or as a part of a token.
func (b *bucket) grantImmediate(now clock.Time, sequence uint64, amount Micro) {
	b.level -= amount
	b.immediate.add(heldGrant{sequence: sequence, amount: amount, until: now.Add(immediateHold)})
	b.check()
}

// report applies an entry's report; the bucket is settled at now.
func (b *bucket) report(now clock.Time, r Report) {
	list := &b.held
	g := list.find(r.Grant.Sequence)
	if g == nil {
		list = &b.immediate
		g = list.find(r.Grant.Sequence)
	}
	if g == nil || g.closed {
		return
	}
	if spent := min(tokens(max(r.Spent, 0)), g.amount); spent > g.spent {
		b.skip(now.Add(-shrunk(max(r.Age, 0))))
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

// setForce puts a limit in force from now on. Tokens above a smaller capacity
// are lost; grants above it run out.
func (b *bucket) setForce(now clock.Time, limit Limit) {
	b.settle(now)
	b.skip(now)
	b.force = limit
	b.level = max(min(b.level, limit.capacity()-b.outstanding()), 0)
	b.check()
}

// drop gives up the level, the refill until now and the share in force.
func (b *bucket) drop(now clock.Time) {
	b.last = max(b.last, now)
	b.settle(now)
	b.level = 0
	b.force = Limit{}
}

// adopt puts the wanted share in force once no home grants under an older
// division and the grants made under it are over. It reports whether it did.
func (b *bucket) adopt(now clock.Time, duty Duty) bool {
	if b.settled == 0 && duty.Settled(b.share.Revision, now) {
		b.settled = max(now, 1)
	}
	if b.settled == 0 || now.Sub(b.settled) < GrantHold {
		return false
	}
	b.waiting = false
	b.setForce(now, b.share.Limit)
	return true
}

// untilToken returns the time until the level can hold one more whole token.
func (b *bucket) untilToken() time.Duration {
	return timeFor(derated(b.force.Rate), tokens(b.level.whole()+1)-b.level)
}

// check asserts that the tokens that can be spent never exceed the capacity.
// After a reduction the outstanding grants alone may exceed it; the level is zero then.
func (b *bucket) check() {
	fits := b.level+b.outstanding() <= b.force.capacity()
	invariant.Check(b.level >= 0 && b.held.total >= 0 && b.immediate.total >= 0 && (fits || b.level == 0), "rate-capacity",
		"level %d + outstanding %d exceed capacity %d", b.level, b.outstanding(), b.force.capacity())
}

// reportWithin returns how soon spends should be reported so that unreported
// ones fill only a small part of the bucket; zero when the bucket is at least half full.
func (b *bucket) reportWithin() time.Duration {
	if b.level*2 >= b.force.capacity() {
		return 0
	}
	within := timeFor(derated(b.force.Rate), b.force.capacity()/reportDivisor)
	if within >= GrantValidity {
		return 0
	}
	return max(within, minReportWithin)
}
