package gate

import (
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// pool holds the targets of the host and hands their slots to waiting attempts. The cost of an operation
// grows only with the targets that this host has for one service.
type pool struct {
	mu       sync.Mutex
	config   *Config
	deps     *Deps
	targets  map[string]*target
	services map[id.ServiceName][]*target
	waiting  map[WaiterID]*waiter
	nextID   WaiterID
}

// waiter is an attempt that waits for a slot.
type waiter struct {
	demand demand
	// result receives the lease or the refusal, once.
	result chan grant
}

// grant is the answer to a waiter.
type grant struct {
	lease *lease
	err   error
}

// demand is what an attempt needs.
type demand struct {
	Waiter
	class hop.Class
	// prefer names a target; empty for any.
	prefer string
}

// lease is a slot in use.
type lease struct {
	pool     *pool
	target   *target
	demand   demand
	start    clock.Time
	released bool
}

// newPool returns a pool without targets.
func newPool(config *Config, deps *Deps) *pool {
	return &pool{
		config:   config,
		deps:     deps,
		targets:  map[string]*target{},
		services: map[id.ServiceName][]*target{},
		waiting:  map[WaiterID]*waiter{},
	}
}

// pick returns the best target with a free slot that admits all attempts; nil when there is none.
func (p *pool) pick(service id.ServiceName, prefer string, now clock.Time) *target {
	var best *target
	var bestScore float64
	for _, t := range p.services[service] {
		if !t.serves() || t.free() == 0 {
			continue
		}
		e := p.deps.Health.Eligible(t.id, now)
		if e.Admit != AdmitAll {
			continue
		}
		if t.id.Name == prefer {
			return t
		}
		score := e.Weight * float64(t.free()) / float64(t.slots)
		if best == nil || score > bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// trial returns an idle target that asks for a trial; nil when there is none.
func (p *pool) trial(service id.ServiceName, now clock.Time) *target {
	for _, t := range p.services[service] {
		if t.serves() && t.inFlight == 0 && p.deps.Health.Eligible(t.id, now).Admit == AdmitTrial {
			return t
		}
	}
	return nil
}

// slots counts the slots of the service's targets that admit all attempts.
func (p *pool) slots(service id.ServiceName, now clock.Time) int {
	n := 0
	for _, t := range p.services[service] {
		if t.serves() && p.deps.Health.Eligible(t.id, now).Admit == AdmitAll {
			n += t.slots
		}
	}
	return n
}

// take occupies a slot.
func (p *pool) take(t *target, d demand, now clock.Time) *lease {
	invariant.Check(t.free() > 0, "slots-not-exceeded", "target %v has %d of %d slots in use", t.id, t.inFlight, t.slots)
	t.inFlight++
	return &lease{pool: p, target: t, demand: d, start: now}
}

// pump serves waiters of a service while there are free slots.
func (p *pool) pump(service id.ServiceName, now clock.Time) {
	for p.deps.Order.Len(service) > 0 {
		if p.pick(service, "", now) == nil {
			return
		}
		turn, ok := p.deps.Order.Next(now, service)
		if !ok {
			return
		}
		p.serve(turn, now)
	}
}

// settle serves the waiters of a service, or refuses them when no target is left, so that entries can
// try another gate in time.
func (p *pool) settle(service id.ServiceName, now clock.Time) {
	p.pump(service, now)
	if p.deps.Order.Len(service) == 0 || p.slots(service, now) > 0 {
		return
	}
	for waiterID, w := range p.waiting {
		if w.demand.Service.Name == service {
			delete(p.waiting, waiterID)
			p.deps.Order.Remove(waiterID)
			w.result <- grant{err: &Refused{Code: problem.NoTarget}}
		}
	}
}

// serve answers one waiter. A waiter that gave up meanwhile was removed from the order.
func (p *pool) serve(turn Turn, now clock.Time) {
	w, ok := p.waiting[turn.ID]
	if !ok {
		return
	}
	delete(p.waiting, turn.ID)
	if turn.Shed {
		w.result <- grant{err: &Refused{Code: problem.DeadlineTooShort}}
		return
	}
	t := p.pick(w.demand.Service.Name, w.demand.prefer, now)
	w.result <- grant{lease: p.take(t, w.demand, now)}
}
