package ejection

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// Home grants the ejection permits of one service. At every call the caller must check that this
// daemon's duty as the home is confirmed.
type Home struct {
	started clock.Time
	fence   time.Duration
	permits map[id.TargetID]permit
	// requested holds the targets for which a permit was recently requested, granted or not, and when.
	requested map[id.TargetID]clock.Time
	lastOrder uint64
}

// permit is a lease that counts against the service's limit until it ends.
type permit struct {
	holder Holder
	number uint64
	until  clock.Time
	// order numbers the permits by their first grant.
	order uint64
}

// requestedTTL is the time for which a permit request counts its target as unhealthy.
const requestedTTL = Lease

// NewHome starts a home's epoch at now. Unless it is the first epoch, the home is fenced: it grants
// nothing for one lease, in which the permits of the former home end.
func NewHome(firstEpoch bool, now clock.Time) *Home {
	h := &Home{started: now, permits: make(map[id.TargetID]permit), requested: make(map[id.TargetID]clock.Time)}
	if !firstEpoch {
		h.fence = HomeLease
	}
	return h
}

// Limit returns how many of n targets may be ejected while the fraction floor stays in service.
func Limit(n int, floor float64) int {
	// The small term keeps a product like 0.7*10 from being rounded up past 7.
	kept := int(math.Ceil(floor*float64(n) - 1e-9))
	return max(0, n-kept)
}

// Handle decides a request. n is the number of the service's targets in service or ejected, and
// floor the fraction of them that must stay in service.
func (h *Home) Handle(r Request, n int, floor float64, now clock.Time) Reply {
	reply := Reply{Target: r.Target, Number: r.Number}
	h.expire(now)
	h.requested[r.Target] = now
	reply.Decision = h.decide(r, n, floor, now)
	if reply.Decision == Granted {
		h.grant(r, now)
		invariant.Check(h.rank(r.Target) < Limit(n, floor), "ejection-floor",
			"%d permits of %d targets with floor %v", len(h.permits), n, floor)
	}
	return reply
}

// grant starts or extends a permit.
func (h *Home) grant(r Request, now clock.Time) {
	p, renewed := h.permits[r.Target]
	if !renewed {
		h.lastOrder++
		p.order = h.lastOrder
	}
	p.holder = r.Holder
	p.number = r.Number
	p.until = now.Add(HomeLease)
	h.permits[r.Target] = p
}

// rank returns the number of permits that were first granted before a target's.
func (h *Home) rank(t id.TargetID) int {
	own, held := h.permits[t]
	rank := 0
	for _, p := range h.permits {
		if !held || p.order < own.order {
			rank++
		}
	}
	return rank
}

// decide returns the decision on a request.
func (h *Home) decide(r Request, n int, floor float64, now clock.Time) Decision {
	if now.Sub(h.started) < h.fence {
		return NotHome
	}
	if 2*len(h.requested) > n {
		return ServiceWide
	}
	// After targets have left, the limit is lower; only the oldest permits within it are renewed.
	if h.rank(r.Target) >= Limit(n, floor) {
		return AtFloor
	}
	return Granted
}

// Release ends a permit. It ignores a release that was overtaken by a newer request of its holder.
func (h *Home) Release(r Release) {
	held, ok := h.permits[r.Target]
	if ok && held.holder == r.Holder && held.number <= r.Number {
		delete(h.permits, r.Target)
	}
	if r.Cleared {
		delete(h.requested, r.Target)
	}
}

// InForce returns the number of permits that have not ended.
func (h *Home) InForce(now clock.Time) int {
	h.expire(now)
	return len(h.permits)
}

// expire removes permits that have ended and requests older than requestedTTL.
func (h *Home) expire(now clock.Time) {
	for target, p := range h.permits {
		if !now.Before(p.until) {
			delete(h.permits, target)
		}
	}
	for target, at := range h.requested {
		if now.Sub(at) > requestedTTL {
			delete(h.requested, target)
		}
	}
}
