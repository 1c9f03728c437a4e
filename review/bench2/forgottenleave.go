package main

import (
	"context"
	"errors"
	"time"
)

const (
	// bookingsBefore is how long bookings are sent before an upstream leaves, bookingInterval the time between two.
	bookingsBefore  = time.Second
	bookingInterval = 20 * time.Millisecond
	// stopsAfter is when a daemon is stopped after its upstream has left.
	stopsAfter = 100 * time.Millisecond
	// lateness is by how much the last heartbeat before the leaving is late.
	lateness = 3500 * time.Millisecond
	// lingers is how long an upstream serves on after it has left.
	lingers = 14 * time.Second
)

var (
	errNoAck  = errors.New("the leaving was not acknowledged")
	errUnused = errors.New("the upstream got no request before it left")
)

// forgottenLeave plays an upstream that leaves without having reported draining, while its daemon is stopped and started again. A
// heartbeat that it sent before arrives after that. DRAIN: no request may reach the upstream later than drain_ms after the
// acknowledgement through machines in touch.
func forgottenLeave(ctx context.Context, p *play) ([]string, error) {
	if err := p.open(ctx); err != nil {
		return nil, err
	}
	gate, entry := p.host("book-1"), p.host("browse-1")
	callers := newCaller(p, entry)
	callers.bookFor(ctx, bookingInterval, bookingsBefore)
	if len(gate.upstream.executions()) == 0 {
		return nil, errUnused
	}
	late := gate.upstream.quiet()
	sentAt := time.Now()
	ackedAt, err := p.leave(ctx, gate)
	if err != nil {
		return nil, err
	}
	time.Sleep(stopsAfter)
	if p.trouble {
		if err := gate.restart(); err != nil {
			return nil, err
		}
		p.record.note("row      after the stop: %q", p.store.value("hosts", gate.ports["inbound"]))
	}
	inTouch := gate.startedAt.Add(contact)
	time.Sleep(time.Until(sentAt.Add(lateness)))
	p.record.note("beat     a heartbeat of %s that was sent %.1f s ago arrives", gate.upstream.id, time.Since(sentAt).Seconds())
	gate.upstream.send(ctx, late)
	time.Sleep(time.Until(inTouch))
	callers.bookFor(ctx, bookingInterval, time.Until(ackedAt.Add(lingers)))
	return p.drainViolations(gate, callers, ackedAt, inTouch), nil
}
