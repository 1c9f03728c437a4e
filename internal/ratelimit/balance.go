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
	// collection assembles a token from several homes; nil when there is none.
	collection *collection
	// nextCollectAt is the earliest time for the next collection.
	nextCollectAt clock.Time
	// due and heapIndex are maintained by timers.
	due       clock.Time
	heapIndex int
}

// spend spends one token of the usable grant that expires first. It returns the end
// of the admission and whether there was a token.
func (b *balance) spend(now clock.Time) (clock.Time, bool) {
	for i := range b.grants {
		g := &b.grants[i]
		if g.remaining(now) > 0 {
			g.spend(now)
			return g.expiry, true
		}
	}
	return 0, false
}

// remaining returns the number of granted tokens that may still be spent at now.
func (b *balance) remaining(now clock.Time) int {
	sum := 0
	for i := range b.grants {
		sum += b.grants[i].remaining(now)
	}
	return sum
}

// add inserts a grant in order of expiry.
func (b *balance) add(g grant) {
	i := sort.Search(len(b.grants), func(i int) bool { return b.grants[i].expiry > g.expiry })
	b.grants = slices.Insert(b.grants, i, g)
}

// reports returns the reports that are outstanding for the home and removes finished
// and expired grants.
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

// view returns the view of the host as a home, or nil.
func (b *balance) view(host id.HostID) *homeView {
	for i := range b.homes {
		if b.homes[i].host == host {
			return &b.homes[i]
		}
	}
	return nil
}

// averageShare returns an equal part of the limit for each home, rounded down.
func (b *balance) averageShare() Limit {
	n := max(len(b.homes), 1)
	return Limit{Rate: b.limit.Rate / MicroTokens(n), Burst: b.limit.Burst / n}
}

// bestHome returns the nearest home that is ready, or nil. Of several homes at the
// same distance it returns the one with the highest expected level.
func (b *balance) bestHome(now clock.Time) *homeView {
	var best *homeView
	share := b.averageShare()
	for i := range b.homes {
		v := &b.homes[i]
		if !v.ready(now) {
			continue
		}
		if best == nil || (v.distance == best.distance && v.expectedLevel(now, share) > best.expectedLevel(now, share)) {
			best = v
		}
	}
	return best
}

// uncoveredWaiters returns the number of waiting callers that no request in flight
// covers.
func (b *balance) uncoveredWaiters() int {
	n := len(b.waiters)
	for i := range b.homes {
		n -= b.homes[i].inFlightNeed
	}
	return max(n, 0)
}

// hasInFlight reports whether a request to any home is in flight.
func (b *balance) hasInFlight() bool {
	for i := range b.homes {
		if b.homes[i].inFlight != 0 {
			return true
		}
	}
	return false
}

// nextReady returns the earliest readyAt of all homes.
func (b *balance) nextReady() clock.Time {
	at := never
	for i := range b.homes {
		at = min(at, b.homes[i].readyAt())
	}
	return at
}

// nextToken returns the earliest time at which a home is expected to have a token,
// and whether every home is unavailable.
func (b *balance) nextToken() (clock.Time, bool) {
	at, failed := never, true
	for i := range b.homes {
		at = min(at, max(b.homes[i].readyAt(), b.homes[i].tokenAt))
		failed = failed && b.homes[i].unavailable()
	}
	return at, failed
}

// idle reports whether there are no grants, waiting callers and requests in flight.
func (b *balance) idle() bool {
	return len(b.grants) == 0 && len(b.waiters) == 0 && !b.hasInFlight()
}
