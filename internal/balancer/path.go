package balancer

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// initialBackoff is the backoff after the first failure to reach a gate; it doubles with each further one.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff bounds the backoff, so that a recovered path is used again within seconds.
	maxBackoff = 5 * time.Second
	// stallLimit is the number of consecutive stalled connections that count as a failed path. The
	// first may be a stale connection, which is then closed; the second is a new one.
	stallLimit = 2
)

// path tracks whether this daemon can reach one gate.
type path struct {
	// failures counts the failures since the last success, stalls the consecutive stalled connections
	// since the last success or failure.
	failures int
	stalls   int
	// idempotentOnly limits trials to idempotent requests. It is set when connections stalled: an
	// attempt over such a path may run without an answer.
	idempotentOnly bool
	// until is the end of the backoff.
	until clock.Time
	// trial is set while a single attempt tests the path after the backoff.
	trial bool
}

// failed records a failure and starts the next backoff.
func (p *path) failed(now clock.Time) {
	p.trial = false
	p.stalls = 0
	p.failures++
	backoff := maxBackoff
	if shift := p.failures - 1; shift < 6 {
		backoff = min(maxBackoff, initialBackoff<<shift)
	}
	p.until = now.Add(backoff)
}

// stalled records a stalled connection and reports whether it makes the path fail.
func (p *path) stalled(now clock.Time) bool {
	p.stalls++
	if p.stalls < stallLimit && p.failures == 0 {
		return false
	}
	p.failed(now)
	p.idempotentOnly = true
	return true
}

// succeeded resets the path.
func (p *path) succeeded() {
	*p = path{}
}

// usable reports whether the path may be used: it has not failed, or a trial attempt is due.
func (p *path) usable(now clock.Time) bool {
	if p.failures == 0 {
		return true
	}
	return !p.trial && !now.Before(p.until)
}
