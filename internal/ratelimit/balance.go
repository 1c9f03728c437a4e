package ratelimit

import (
	"slices"
	"sort"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// balance is an entry's state for one customer.
type balance struct {
	customer id.CustomerID
	// version is the placement version that limit and homes were taken from.
	version uint64
	limit   Limit
	homes   []homeView
	// grants are the unexpired grants, the first to expire first.
	grants  []grant
	waiters []waiter
	demand  demand
	// collection is the token that is being put together; nil when there is none.
	collection *collection
	// collectFrom is when putting a token together makes sense again.
	collectFrom clock.Time
	// due and position belong to timers.
	due      clock.Time
	position int
}

// spend uses one token of the grant that expires first. It returns the
// end of the admission.
func (b *balance) spend(now clock.Time) (clock.Time, bool) {
	for i := range b.grants {
		g := &b.grants[i]
		if g.left(now) > 0 {
			g.spend(now)
			return g.expiry, true
		}
	}
	return 0, false
}

// left returns the tokens that may be spent at now.
func (b *balance) left(now clock.Time) int {
	sum := 0
	for i := range b.grants {
		sum += b.grants[i].left(now)
	}
	return sum
}

// add stores a grant in order of expiry.
func (b *balance) add(g grant) {
	i := sort.Search(len(b.grants), func(i int) bool { return b.grants[i].expiry > g.expiry })
	b.grants = slices.Insert(b.grants, i, g)
}

// reports collects what the home has not been told, and forgets finished grants.
func (b *balance) reports(now clock.Time, home id.HostID) []Report {
	var out []Report
	b.grants = slices.DeleteFunc(b.grants, func(g grant) bool {
		return g.home == home && !now.Before(g.expiry)
	})
	for i := range b.grants {
		g := &b.grants[i]
		if g.home == home && (g.spent > g.reported || g.finished(now)) {
			out = append(out, g.report(now))
		}
	}
	b.grants = slices.DeleteFunc(b.grants, func(g grant) bool {
		return g.home == home && g.finished(now)
	})
	return out
}

// view returns the view of a host, or nil.
func (b *balance) view(host id.HostID) *homeView {
	for i := range b.homes {
		if b.homes[i].host == host {
			return &b.homes[i]
		}
	}
	return nil
}

// share returns the share of an average home.
func (b *balance) share() Limit {
	n := max(len(b.homes), 1)
	return Limit{Rate: b.limit.Rate / Micro(n), Burst: b.limit.Burst / n}
}

// best returns the nearest home that can be asked for waiting callers, the
// fullest one of several at the same distance, or nil.
func (b *balance) best(now clock.Time) *homeView {
	var best *homeView
	share := b.share()
	for i := range b.homes {
		v := &b.homes[i]
		if !v.ready(now) {
			continue
		}
		if best == nil || (v.distance == best.distance && v.expected(now, share) > best.expected(now, share)) {
			best = v
		}
	}
	return best
}

// unasked returns the number of waiting callers that no unanswered request covers.
func (b *balance) unasked() int {
	n := len(b.waiters)
	for i := range b.homes {
		n -= b.homes[i].asked
	}
	return max(n, 0)
}

// busy reports whether a request is unanswered.
func (b *balance) busy() bool {
	for i := range b.homes {
		if b.homes[i].inFlight != 0 {
			return true
		}
	}
	return false
}

// nextReady returns the earliest time at which a home can be asked.
func (b *balance) nextReady() clock.Time {
	at := never
	for i := range b.homes {
		at = min(at, b.homes[i].readyFrom())
	}
	return at
}

// nextToken returns the earliest time at which a home expects a token, and
// whether every home failed to answer.
func (b *balance) nextToken() (clock.Time, bool) {
	at, failed := never, true
	for i := range b.homes {
		at = min(at, max(b.homes[i].readyFrom(), b.homes[i].tokenAt))
		failed = failed && b.homes[i].out()
	}
	return at, failed
}

// idle reports whether forgetting the balance loses nothing but the demand estimate.
func (b *balance) idle() bool {
	return len(b.grants) == 0 && len(b.waiters) == 0 && !b.busy()
}
