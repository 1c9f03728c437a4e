package ejection

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// Home grants the permits of one service. The caller checks at every call that the duty is confirmed.
type Home struct {
	started clock.Time
	fence   time.Duration
	permits map[id.TargetID]permit
	// wanted are the targets for which a permit was asked lately, granted or not.
	wanted map[id.TargetID]clock.Time
	orders uint64
}

// permit is a lease that counts against the floor until it ends.
type permit struct {
	holder Holder
	number uint64
	until  clock.Time
	// order is the position in which the permit was first granted.
	order uint64
}

// wantedFor is the time for which a request counts as a sign that the target looks bad.
const wantedFor = Lease

// NewHome starts a home's epoch at now. Unless it is the first epoch, it grants nothing for one
// lease, in which the permits of the former holder end.
func NewHome(firstEpoch bool, now clock.Time) *Home {
	h := &Home{started: now, permits: make(map[id.TargetID]permit), wanted: make(map[id.TargetID]clock.Time)}
	if !firstEpoch {
		h.fence = HomeLease
	}
	return h
}

// Limit returns the number of permits that leave the floor of n targets in service.
func Limit(n int, floor float64) int {
	// The small term keeps a product like 0.7*10 from being rounded up past 7.
	kept := int(math.Ceil(floor*float64(n) - 1e-9))
	return max(0, n-kept)
}

// Handle decides a request. n is the number of the service's targets in service or ejected, and
// floor the part of them that must stay in service.
func (h *Home) Handle(r Request, n int, floor float64, now clock.Time) Reply {
	reply := Reply{Target: r.Target, Number: r.Number}
	h.expire(now)
	h.wanted[r.Target] = now
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
		h.orders++
		p.order = h.orders
	}
	p.holder = r.Holder
	p.number = r.Number
	p.until = now.Add(HomeLease)
	h.permits[r.Target] = p
}

// rank returns the number of permits that were granted before a target's.
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

// decide returns the answer to a request.
func (h *Home) decide(r Request, n int, floor float64, now clock.Time) Decision {
	if now.Sub(h.started) < h.fence {
		return NotHome
	}
	if 2*len(h.wanted) > n {
		return ServiceWide
	}
	// When targets left, the oldest permits that the smaller limit allows are renewed.
	if h.rank(r.Target) >= Limit(n, floor) {
		return AtFloor
	}
	return Granted
}

// Release takes a permit back. A release that was overtaken by a newer request of its holder is ignored.
func (h *Home) Release(r Release) {
	held, ok := h.permits[r.Target]
	if ok && held.holder == r.Holder && held.number <= r.Number {
		delete(h.permits, r.Target)
	}
	if r.Cleared {
		delete(h.wanted, r.Target)
	}
}

// InForce returns the number of permits that may be in use.
func (h *Home) InForce(now clock.Time) int {
	h.expire(now)
	return len(h.permits)
}

// expire forgets what has ended.
func (h *Home) expire(now clock.Time) {
	for target, p := range h.permits {
		if !now.Before(p.until) {
			delete(h.permits, target)
		}
	}
	for target, at := range h.wanted {
		if now.Sub(at) > wantedFor {
			delete(h.wanted, target)
		}
	}
}
