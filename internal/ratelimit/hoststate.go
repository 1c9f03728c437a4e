package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// downAfter is the number of consecutive failures after which a host counts as
	// down for all customers. One slow call is not enough.
	downAfter = 2
	// failureBackoff is the pause after a home failed to reply or refused to act.
	failureBackoff = 500 * time.Millisecond
)

// hostState holds what an entry observed about a host in calls for all customers.
type hostState struct {
	failures  int
	downUntil clock.Time
}

// recordFailure counts a failure and backs off when the host counts as down.
func (h *hostState) recordFailure(now clock.Time) {
	h.failures++
	h.extendBackoff(now)
}

// recordReply marks the host as up.
func (h *hostState) recordReply() {
	h.failures = 0
	h.downUntil = 0
}

// extendBackoff holds back calls for other customers while a host that is down is
// probed.
func (h *hostState) extendBackoff(now clock.Time) {
	if h.failures >= downAfter {
		h.downUntil = now.Add(failureBackoff)
	}
}
