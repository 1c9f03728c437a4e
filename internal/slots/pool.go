package slots

import (
	"context"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fairqueue"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// Pool holds the slots of all services of a gate.
type Pool struct {
	clock    clock.Clock
	mu       sync.Mutex
	closed   bool
	services map[id.ServiceName]*service
}

// New returns a pool without services.
func New(c clock.Clock) *Pool {
	return &Pool{clock: c, services: map[id.ServiceName]*service{}}
}

// Configure adds a service or changes the bounds of its queue.
func (p *Pool) Configure(name id.ServiceName, config fairqueue.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.services[name]; s != nil {
		s.queue.SetConfig(config)
		return
	}
	p.services[name] = newService(config)
}

// SetCapacity sets the number of slots of a service. Slots in use above a
// smaller capacity finish undisturbed. An unknown service is ignored.
func (p *Pool) SetCapacity(name id.ServiceName, capacity int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.services[name]; s != nil {
		s.capacity = capacity
		s.dispatch(p, p.clock.Now())
	}
}

// Load returns the present load of a service; zero when it is unknown.
func (p *Pool) Load(name id.ServiceName) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.services[name]; s != nil {
		return s.load()
	}
	return Load{}
}

// Expected returns the expected service time of a service; zero when unknown.
func (p *Pool) Expected(name id.ServiceName) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.services[name]; s != nil {
		return s.estimator.Expected(p.clock.Now())
	}
	return 0
}

// Close refuses the waiting and all later callers with ErrClosed. Slots in use
// finish undisturbed.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, s := range p.services {
		for ticket := range s.waiting {
			s.queue.Remove(ticket)
			s.deliver(ticket, result{err: ErrClosed})
		}
	}
}

// Acquire waits for a slot of the service. Weight is the customer's weight and
// remaining the time within which the request must be finished. The error is a
// *fairqueue.Refusal, ErrUnknownService, ErrClosed or the error of ctx.
func (p *Pool) Acquire(ctx context.Context, name id.ServiceName, customer id.CustomerID, weight int, remaining time.Duration) (*Slot, error) {
	request := fairqueue.Request{Customer: customer, Weight: weight, Remaining: remaining}
	s, ticket, wait, err := p.enqueue(name, request)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case r := <-wait:
		return r.slot, r.err
	case <-ctx.Done():
		return nil, p.abandon(s, ticket, wait, ctx.Err())
	case <-timer.C:
		return nil, p.abandon(s, ticket, wait, &fairqueue.Refusal{Reason: fairqueue.DeadlineTooShort})
	}
}

// enqueue queues a request and serves whoever can be served.
func (p *Pool) enqueue(name id.ServiceName, request fairqueue.Request) (*service, fairqueue.Ticket, chan result, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[name]
	if s == nil {
		return nil, 0, nil, ErrUnknownService
	}
	if p.closed {
		return nil, 0, nil, ErrClosed
	}
	now := p.clock.Now()
	s.dispatch(p, now)
	wait := make(chan result, 1)
	expected := s.estimator.Expected(now)
	if s.inUse < s.capacity && request.Remaining > 0 && request.Remaining >= expected {
		wait <- result{slot: s.take(p, now)}
		return s, 0, wait, nil
	}
	ticket, shed, refusal := s.queue.Enqueue(now, request, expected)
	if refusal != nil {
		return nil, 0, nil, refusal
	}
	if shed != nil {
		s.deliver(shed.Ticket, result{err: shed.Refusal})
	}
	s.waiting[ticket] = wait
	return s, ticket, wait, nil
}

// abandon ends a wait with err. A slot that was delivered meanwhile is given back.
func (p *Pool) abandon(s *service, ticket fairqueue.Ticket, wait chan result, err error) error {
	p.mu.Lock()
	queued := s.queue.Remove(ticket)
	delete(s.waiting, ticket)
	p.mu.Unlock()
	if queued {
		return err
	}
	if r := <-wait; r.slot != nil {
		r.slot.Release()
	}
	return err
}

// release frees a slot for the next caller.
func (p *Pool) release(slot *Slot, finished bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	s := slot.service
	if finished {
		s.estimator.Observe(now, now.Sub(slot.since))
	}
	s.inUse--
	invariant.Check(s.inUse >= 0, "slot-released-once", "%d slots in use", s.inUse)
	s.dispatch(p, now)
}
