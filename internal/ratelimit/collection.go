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
	// collectBackoff is the pause after a token could not be put together.
	collectBackoff = 60 * time.Millisecond
	// collectMaxBurst is the largest burst of a home for which tokens are put
	// together. For larger ones the fractions are a small part of the burst, and a
	// customer over its rate would cost many messages.
	collectMaxBurst = 4
)

// part is a fraction of a token that a home granted.
type part struct {
	home   id.HostID
	grant  GrantID
	amount Micro
	// until is when the part has to be spent.
	until clock.Time
}

// collection puts one token together from several homes, none of which has a
// whole one. Without it, up to a token per home of a customer's burst would be
// out of reach.
type collection struct {
	have  Micro
	parts []part
	// order lists the homes that are still to be asked.
	order []id.HostID
	// awaited is the unanswered request.
	awaited uint64
}

// awaits reports whether the request belongs to the collection, which may be nil.
func (c *collection) awaits(requestID uint64) bool {
	return c != nil && c.awaited == requestID
}

// add stores what a home granted.
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

// collectable reports whether the homes together are expected to have a token.
func (e *Entry) collectable(now clock.Time, b *balance) bool {
	if len(b.homes) < 2 || b.share().Burst > collectMaxBurst || b.busy() || now.Before(b.collectFrom) {
		return false
	}
	sum, share := Micro(0), b.share()
	for i := range b.homes {
		if v := &b.homes[i]; !v.out() {
			sum += min(v.expected(now, share), Token)
		}
	}
	return sum >= Token
}

// startCollection asks the fullest home first. The own home comes last, because
// its part can be taken at once or not at all.
func (e *Entry) startCollection(now clock.Time, b *balance) {
	share := b.share()
	c := &collection{}
	for i := range b.homes {
		if v := &b.homes[i]; !v.out() && !e.isLocal(v) && v.expected(now, share) >= minPart {
			c.order = append(c.order, v.host)
		}
	}
	slices.SortStableFunc(c.order, func(x, y id.HostID) int {
		return int(b.view(y).expected(now, share) - b.view(x).expected(now, share))
	})
	b.collection = c
	e.collect(now, b)
}

// collect completes the token or asks the next home for what is missing.
func (e *Entry) collect(now clock.Time, b *balance) {
	c := b.collection
	missing := Token - c.have
	if len(b.waiters) == 0 || !c.valid(now) {
		e.returnParts(now, b)
		return
	}
	if v := b.view(e.config.Self); missing > 0 && v != nil && e.isLocal(v) &&
		v.expected(now, b.share()) >= missing && e.takeLocal(now, b, v, missing) {
		missing = 0
	}
	if missing <= 0 {
		e.spendParts(now, b)
		return
	}
	for len(c.order) > 0 {
		v := b.view(c.order[0])
		c.order = c.order[1:]
		if v != nil && v.inFlight == 0 {
			e.send(now, b, v, Request{Part: missing})
			c.awaited = v.inFlight
			return
		}
	}
	e.returnParts(now, b)
}

// spendParts admits the first waiting caller.
func (e *Entry) spendParts(now clock.Time, b *balance) {
	for _, p := range b.collection.parts {
		if v := b.view(p.home); v != nil {
			v.spent, v.tokens, v.spentAt = p.grant, 1, now
		}
	}
	b.collection = nil
	e.resolve(b, Resolution{Waiter: b.waiters[0].id, Until: now.Add(admissionValidity)})
}

// returnParts gives up and returns the parts.
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
	b.collectFrom = now.Add(collectBackoff)
}
