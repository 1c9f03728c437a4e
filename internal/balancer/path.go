package balancer

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// firstBackoff is the time without new work after the first failure to reach a gate.
	firstBackoff = 100 * time.Millisecond
	// maxBackoff bounds the growing backoff, so that a healed path is used again within seconds.
	maxBackoff = 5 * time.Second
	// silentLimit is the number of silent connections in a row that count as a failed path.
	// One silent connection is closed and not reused; only a second, new one is evidence.
	silentLimit = 2
)

// path is this observer's evidence about reaching one gate.
type path struct {
	failures int
	silent   int
	// unsafe says that the path failed by silence: an attempt over it may run without an answer.
	unsafe bool
	// until is the end of the backoff.
	until clock.Time
	// trial is set while a single attempt tests the path after a backoff.
	trial bool
}

// failed records a failure and reports whether the path is now in backoff.
func (p *path) failed(now clock.Time) {
	p.trial = false
	p.silent = 0
	p.failures++
	backoff := maxBackoff
	if shift := p.failures - 1; shift < 6 {
		backoff = min(maxBackoff, firstBackoff<<shift)
	}
	p.until = now.Add(backoff)
}

// wentSilent records a silent connection and reports whether the path failed with it.
func (p *path) wentSilent(now clock.Time) bool {
	p.silent++
	if p.silent < silentLimit && p.failures == 0 {
		return false
	}
	p.failed(now)
	p.unsafe = true
	return true
}

// succeeded clears the evidence.
func (p *path) succeeded() {
	*p = path{}
}

// usable reports whether the path may be used, for a trial or without limit.
func (p *path) usable(now clock.Time) bool {
	if p.failures == 0 {
		return true
	}
	return !p.trial && !now.Before(p.until)
}
