package gate

import (
	"context"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// acquire waits for a slot until ctx ends. The error is a *Refused.
func (p *pool) acquire(ctx context.Context, d demand) (*lease, error) {
	w, lease, err := p.leaseOrEnqueue(d)
	if w == nil {
		return lease, err
	}
	select {
	case g := <-w.result:
		return g.lease, g.err
	case <-ctx.Done():
		return nil, p.abandon(w)
	}
}

// leaseOrEnqueue returns a lease for a trial, or a waiter that was added to the queue.
func (p *pool) leaseOrEnqueue(d demand) (*waiter, *lease, error) {
	now := p.deps.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	d.Slots = p.slots(d.Service.Name, now)
	if d.class == hop.Idempotent {
		if t := p.trialTarget(d.Service.Name, now); t != nil {
			return nil, p.take(t, d, now), nil
		}
	}
	if d.Slots == 0 {
		return nil, nil, &RefusedError{Code: problem.NoTarget}
	}
	p.nextID++
	d.ID = p.nextID
	if err := p.deps.Order.Enqueue(now, d.Waiter); err != nil {
		return nil, nil, err
	}
	w := &waiter{demand: d, result: make(chan waitResult, 1)}
	p.waiting[d.ID] = w
	p.serveWaiters(d.Service.Name, now)
	return w, nil, nil
}

// abandon removes a waiter whose deadline has passed or whose entry has disconnected.
func (p *pool) abandon(w *waiter) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, waits := p.waiting[w.demand.ID]; waits {
		delete(p.waiting, w.demand.ID)
		p.deps.Order.Remove(w.demand.ID)
	} else if g := <-w.result; g.lease != nil {
		p.put(g.lease, p.deps.Clock.Now())
	}
	return &RefusedError{Code: problem.DeadlineTooShort}
}

// release returns the slot.
func (l *lease) release() {
	now := l.pool.deps.Clock.Now()
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.pool.put(l, now)
}

// put frees a slot and serves the waiters of its service.
func (p *pool) put(l *lease, now clock.Time) {
	if l.released {
		return
	}
	l.released = true
	l.target.inFlight--
	service := l.demand.Service.Name
	p.deps.Order.Served(service, l.demand.Customer, now.Sub(l.start))
	p.serveWaiters(service, now)
}

// mayDispatch reports whether the leased target still accepts new attempts.
func (l *lease) mayDispatch() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.target.serves()
}

// load returns the gate's load for the lease's service.
func (p *pool) load(d demand) hop.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := hop.Load{Queued: p.deps.Order.Len(d.Service.Name)}
	for _, t := range p.services[d.Service.Name] {
		if t.serves() {
			load.FreeSlots += t.free()
		}
	}
	return load
}
