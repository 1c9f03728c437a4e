package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// downAfter is the number of failures in a row after which a host counts as
	// down for all customers. One slow call is not enough.
	downAfter = 2
	// failureBackoff is the pause after a home did not answer or may not act.
	failureBackoff = 500 * time.Millisecond
)

// hostState is what an entry knows about a host from the calls for all customers.
type hostState struct {
	failures  int
	downUntil clock.Time
}

// failed notes a failure.
func (h *hostState) failed(now clock.Time) {
	h.failures++
	h.hold(now)
}

// answered notes an answer.
func (h *hostState) answered() {
	h.failures = 0
	h.downUntil = 0
}

// hold keeps other calls back while a host that is down is probed.
func (h *hostState) hold(now clock.Time) {
	if h.failures >= downAfter {
		h.downUntil = now.Add(failureBackoff)
	}
}
