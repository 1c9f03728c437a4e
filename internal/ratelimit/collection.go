package ratelimit

import (
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// minPart is the smallest part of a token that is worth a message.
	minPart = Token / 20
	// collectBackoff is the pause after a failed collection.
	collectBackoff = 60 * time.Millisecond
	// collectMaxBurst is the largest burst of a home's share for which parts are
	// collected. For larger ones the fractions are a small part of the burst, and a
	// customer over its rate would cost many messages.
	collectMaxBurst = 4
)

// part is a fraction of a token that a home granted.
type part struct {
	home   id.HostID
	grant  GrantID
	amount MicroTokens
	// until is the latest time at which the part may be spent.
	until clock.Time
}

// collection assembles one token from parts of several homes, none of which has a
// whole one. Without it, up to one token per home of a customer's burst could not
// be spent.
type collection struct {
	have  MicroTokens
	parts []part
	// untried lists the homes that no request was sent to yet.
	untried []id.HostID
	// requestID identifies the request in flight.
	requestID uint64
}

// awaits reports whether the request belongs to the collection, which may be nil.
func (c *collection) awaits(requestID uint64) bool {
	return c != nil && c.requestID == requestID
}

// add stores the part that a home granted, if any.
func (c *collection) add(v *homeView, reply Reply) {
	if reply.Part <= 0 {
		return
	}
	c.have += reply.Part
	c.parts = append(c.parts, part{v.host, reply.ImmediateGrant, reply.Part, v.sentAt.Add(ImmediateValidity)})
}

// valid reports whether all parts may be spent at now.
func (c *collection) valid(now clock.Time) bool {
	return !slices.ContainsFunc(c.parts, func(p part) bool { return p.until.Before(now) })
}

// canCollect reports whether a collection may start: the homes are expected to have
// a token between them.
func (e *Entry) canCollect(now clock.Time, b *balance) bool {
	if len(b.homes) < 2 || b.averageShare().Burst > collectMaxBurst || b.hasInFlight() || now.Before(b.nextCollectAt) {
		return false
	}
	sum, share := MicroTokens(0), b.averageShare()
	for i := range b.homes {
		if v := &b.homes[i]; !v.unavailable() {
			sum += min(v.expectedLevel(now, share), Token)
		}
	}
	return sum >= Token
}

// startCollection starts with the home that is expected to have the highest level.
// The local home comes last, because Take spends the missing amount at once or
// nothing.
func (e *Entry) startCollection(now clock.Time, b *balance) {
	share := b.averageShare()
	c := &collection{}
	for i := range b.homes {
		if v := &b.homes[i]; !v.unavailable() && !e.isLocal(v) && v.expectedLevel(now, share) >= minPart {
			c.untried = append(c.untried, v.host)
		}
	}
	slices.SortStableFunc(c.untried, func(x, y id.HostID) int {
		return int(b.view(y).expectedLevel(now, share) - b.view(x).expectedLevel(now, share))
	})
	b.collection = c
	e.collect(now, b)
}

// collect completes the token or requests the missing part from the next home.
func (e *Entry) collect(now clock.Time, b *balance) {
	c := b.collection
	missing := Token - c.have
	if len(b.waiters) == 0 || !c.valid(now) {
		e.returnParts(now, b)
		return
	}
	if v := b.view(e.config.Self); missing > 0 && v != nil && e.isLocal(v) &&
		v.expectedLevel(now, b.averageShare()) >= missing && e.takeLocal(now, b, v, missing) {
		missing = 0
	}
	if missing <= 0 {
		e.spendParts(now, b)
		return
	}
	for len(c.untried) > 0 {
		v := b.view(c.untried[0])
		c.untried = c.untried[1:]
		if v != nil && v.inFlight == 0 {
			e.send(now, b, v, Request{Part: missing})
			c.requestID = v.inFlight
			return
		}
	}
	e.returnParts(now, b)
}

// spendParts spends the collected token on the first waiting caller.
func (e *Entry) spendParts(now clock.Time, b *balance) {
	for _, p := range b.collection.parts {
		if v := b.view(p.home); v != nil {
			v.immediateGrant, v.immediateSpent, v.immediateSpentAt = p.grant, 1, now
		}
	}
	b.collection = nil
	e.resolve(b, Resolution{Waiter: b.waiters[0].id, Until: now.Add(admissionValidity)})
}

// returnParts ends a failed collection and returns its parts to the homes.
func (e *Entry) returnParts(now clock.Time, b *balance) {
	for _, p := range b.collection.parts {
		e.nextID++
		report := Report{Grant: p.grant, Closed: true}
		e.outbox.Calls = append(e.outbox.Calls, Call{
			Home:    p.home,
			Request: Request{ID: e.nextID, Customer: b.customer, Reports: []Report{report}},
		})
	}
	b.collection = nil
	b.nextCollectAt = now.Add(collectBackoff)
}
