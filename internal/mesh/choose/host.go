package choose

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

const (
	// loadMemory is the time after which a reported load counts half.
	loadMemory = 700 * time.Millisecond
	// neutralUse is the use assumed of a target of which nothing is known. It is above the use of a lightly loaded
	// one, so that a known free target is preferred to an unknown one.
	neutralUse = 0.45
	// firstRest and longestRest bound the rest of a host that cannot be reached. The longest one is short against
	// the time in which operators expect a repaired host to be used again.
	firstRest   = 300 * time.Millisecond
	longestRest = 4 * time.Second
	// declinedRest is the rest after a gate refused because of its target's state.
	declinedRest = 400 * time.Millisecond
)

// host is what the entry knows about one host.
type host struct {
	record roster.Record
	// inFlight are the entry's own attempts there.
	inFlight int
	load     Load
	loadAt   clock.Time
	loadSeen bool
	// failures counts the unreachable attempts in a row, the first of which was made at lostAt.
	failures   int
	lostAt     clock.Time
	restsUntil clock.Time
}

// use returns the expected share of the slots in use; waiting attempts count as used slots.
func (h *host) use(now clock.Time) float64 {
	slots := float64(max(h.record.Slots, 1))
	known := neutralUse
	if h.loadSeen {
		age := float64(now.Sub(h.loadAt)) / float64(loadMemory)
		weight := 1 / (1 + age)
		told := float64(h.load.InUse+h.load.Waiting) / slots
		known = weight*told + (1-weight)*neutralUse
	}
	return max(known, float64(h.inFlight)/slots)
}

// rests reports whether the host is left alone.
func (h *host) rests(now clock.Time) bool {
	return now.Before(h.restsUntil)
}

// unreachable lets the host rest, longer each time.
func (h *host) unreachable(now clock.Time) {
	if h.failures == 0 {
		h.lostAt = now
	}
	rest := min(firstRest<<min(h.failures, 8), longestRest)
	h.failures++
	h.restsUntil = max(h.restsUntil, now.Add(rest))
}

// takesWork reports whether the host's target can be used for the service.
func (h *host) takesWork(service id.ServiceName) bool {
	return h.record.Service == service && h.record.State == roster.Serving
}
