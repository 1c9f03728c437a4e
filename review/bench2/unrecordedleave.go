package main

import (
	"context"
	"syscall"
	"time"
)

// unrecordedTurnedAway is how long the store turns the host away while its upstream leaves.
const unrecordedTurnedAway = 2 * time.Second

// unrecordedLeave plays an upstream that leaves, without having reported draining, while the store turns its host away, so that the
// daemon acknowledges the leaving without a record of it. The daemon is killed and started again, and a heartbeat arrives that the
// upstream sent before. DRAIN: no request may reach the upstream later than drain_ms after the acknowledgement through machines in
// touch.
func unrecordedLeave(ctx context.Context, p *play) ([]string, error) {
	if err := p.open(ctx); err != nil {
		return nil, err
	}
	gate, entry := p.host("book-1"), p.host("browse-1")
	callers := newCaller(p, entry)
	callers.bookFor(ctx, bookingInterval, bookingsBefore)
	if len(gate.upstream.executions()) == 0 {
		return nil, errUnused
	}
	late, sentAt := gate.upstream.quiet(), time.Now()
	if p.trouble {
		p.record.note("store    turns %s away", gate.name)
		gate.storeDown.Store(true)
	}
	ackedAt, err := p.leave(ctx, gate)
	if err != nil {
		return nil, err
	}
	if p.trouble {
		if err := gate.signal(syscall.SIGKILL); err != nil {
			return nil, err
		}
		<-gate.exited
		time.Sleep(restartDelay)
		if err := gate.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(sentAt.Add(unrecordedTurnedAway)))
	p.record.note("store    serves %s", gate.name)
	gate.storeDown.Store(false)
	time.Sleep(time.Until(sentAt.Add(latenessOfBeat)))
	p.record.note("beat     a heartbeat of %s that was sent %.1f s ago arrives", gate.upstream.id, time.Since(sentAt).Seconds())
	gate.upstream.send(ctx, late)
	inTouch := time.Now().Add(contact)
	time.Sleep(time.Until(inTouch))
	callers.bookFor(ctx, bookingInterval, time.Until(ackedAt.Add(lingers)))
	return p.drainViolations(gate, callers, ackedAt, inTouch), nil
}
