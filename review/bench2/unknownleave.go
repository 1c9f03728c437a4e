package main

import (
	"context"
	"syscall"
	"time"
)

const (
	// turnedAway is how long the store turns the host away.
	turnedAway = 6 * time.Second
	// leavesAfterBeat is when the upstream leaves after its last heartbeat, before the next one is due.
	leavesAfterBeat = time.Second
	// latenessOfBeat is by how much that heartbeat is late.
	latenessOfBeat = 3600 * time.Millisecond
)

// unknownLeave plays an upstream that leaves, without having reported draining, right after its daemon was killed and started again
// while the store turns the host away. The new process acknowledges the leaving. Then a heartbeat arrives that the upstream sent
// before. DRAIN: no request may reach the upstream later than drain_ms after the acknowledgement through machines in touch.
func unknownLeave(ctx context.Context, p *play) ([]string, error) {
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
		if err := gate.signal(syscall.SIGKILL); err != nil {
			return nil, err
		}
		<-gate.exited
		time.Sleep(restartDelay)
		if err := gate.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(sentAt.Add(leavesAfterBeat)))
	ackedAt, err := p.leave(ctx, gate)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(sentAt.Add(latenessOfBeat)))
	p.record.note("beat     a heartbeat of %s that was sent %.1f s ago arrives", gate.upstream.id, time.Since(sentAt).Seconds())
	gate.upstream.send(ctx, late)
	time.Sleep(time.Until(sentAt.Add(turnedAway)))
	p.record.note("store    serves %s again", gate.name)
	gate.storeDown.Store(false)
	inTouch := time.Now().Add(contact)
	time.Sleep(time.Until(inTouch))
	callers.bookFor(ctx, bookingInterval, time.Until(ackedAt.Add(lingers)))
	return p.drainViolations(gate, callers, ackedAt, inTouch), nil
}
