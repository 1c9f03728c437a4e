package choose

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

const (
	// loadHalfWeightAge is the age at which a reported load has half of its initial weight.
	loadHalfWeightAge = 700 * time.Millisecond
	// reportedSlotsExpiry is the age from which a reported number of slots does not count any more. The next attempt then brings
	// a new report. It is twice the interval of the announcements by which a target becomes warm.
	reportedSlotsExpiry = 3 * time.Second
	// unknownUtilization is the utilization assumed of a target whose load is unknown. It is above that of a lightly
	// loaded one, so that a target that is known to be free is usually preferred.
	unknownUtilization = 0.45
	// minBackoff and maxBackoff bound the backoff of an unreachable host. The maximum is short compared with the time in
	// which operators expect a repaired host to be used again.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 4 * time.Second
	// declinedBackoff is the default backoff after a refusal because of the target's state and after an overdue attempt.
	declinedBackoff = 400 * time.Millisecond
)

// host is the entry's state of one host.
type host struct {
	record roster.Record
	// inFlight counts the entry's own attempts at the host.
	inFlight  int
	load      Load
	loadAt    clock.Time
	loadKnown bool
	// failures counts the unreachable attempts in a row, the first of which was reported at failingSince.
	failures     int
	failingSince clock.Time
	backoffUntil clock.Time
	// evacuated is set while the host's failure domain is evacuated.
	evacuated bool
}

// utilization returns the estimated share of the slots in use; waiting attempts count as used slots.
func (h *host) utilization(now clock.Time) float64 {
	slots := float64(h.slots(now))
	estimate := unknownUtilization
	if h.loadKnown {
		age := float64(now.Sub(h.loadAt)) / float64(loadHalfWeightAge)
		weight := 1 / (1 + age)
		reported := float64(h.load.InUse+h.load.Waiting) / slots
		estimate = weight*reported + (1-weight)*unknownUtilization
	}
	return max(estimate, float64(h.inFlight)/slots)
}

// slots returns the number of slots that the target has for entries. Its gate reports fewer while the target is cold.
func (h *host) slots(now clock.Time) int {
	if h.loadKnown && h.load.Slots > 0 && now.Sub(h.loadAt) < reportedSlotsExpiry {
		return h.load.Slots
	}
	return max(h.record.Slots, 1)
}

// backedOff reports whether the host is in backoff.
func (h *host) backedOff(now clock.Time) bool {
	return now.Before(h.backoffUntil)
}

// markUnreachable counts a failure and backs off exponentially.
func (h *host) markUnreachable(now clock.Time) {
	if h.failures == 0 {
		h.failingSince = now
	}
	backoff := min(minBackoff<<min(h.failures, 8), maxBackoff)
	h.failures++
	h.backoffUntil = max(h.backoffUntil, now.Add(backoff))
}

// serves reports whether the host's target can be used for the service.
func (h *host) serves(service id.ServiceName) bool {
	return h.hasTarget(service) && !h.evacuated
}

// hasTarget reports whether the host has a serving target of the service.
func (h *host) hasTarget(service id.ServiceName) bool {
	return h.record.Service == service && h.record.State == roster.Serving
}
