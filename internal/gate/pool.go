package gate

import (
	"strconv"
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// pool holds the targets of the host and assigns their slots to waiting attempts. The cost of assigning a slot
// depends only on the number of targets that this host has for the service.
type pool struct {
	mu       sync.Mutex
	config   *Config
	deps     *Deps
	targets  map[string]*target
	services map[id.ServiceName][]*target
	waiting  map[WaiterID]*waiter
	nextID   WaiterID
	// token identifies this process in announcements.
	token string
	// departed holds the target processes that have announced that they are leaving.
	departed *departures
}

// waiter is an attempt that waits for a slot.
type waiter struct {
	demand demand
	// result receives the lease or the refusal, once.
	result chan waitResult
}

// waitResult is the lease or the refusal that a waiter receives.
type waitResult struct {
	lease *lease
	err   error
}

// demand is an attempt's request for a slot.
type demand struct {
	Waiter
	class hop.Class
	// prefer is the name of the preferred target; empty for any.
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
		token:    strconv.FormatUint(uint64(config.Incarnation), 36),
		departed: newDepartures(),
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

// trialTarget returns an idle target that admits a trial; nil when there is none.
func (p *pool) trialTarget(service id.ServiceName, now clock.Time) *target {
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

// serveWaiters serves waiters of a service while there are free slots.
func (p *pool) serveWaiters(service id.ServiceName, now clock.Time) {
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

// serveOrRefuseWaiters serves the waiters of a service, or refuses them when no target is left, so that entries can
// try another gate in time.
func (p *pool) serveOrRefuseWaiters(service id.ServiceName, now clock.Time) {
	p.serveWaiters(service, now)
	if p.deps.Order.Len(service) == 0 || p.slots(service, now) > 0 {
		return
	}
	for waiterID, w := range p.waiting {
		if w.demand.Service.Name == service {
			delete(p.waiting, waiterID)
			p.deps.Order.Remove(waiterID)
			w.result <- waitResult{err: &RefusedError{Code: problem.NoTarget}}
		}
	}
}

// serve passes a slot or a refusal to the waiter whose turn it is, unless the waiter has been removed.
func (p *pool) serve(turn Turn, now clock.Time) {
	w, ok := p.waiting[turn.ID]
	if !ok {
		return
	}
	delete(p.waiting, turn.ID)
	if turn.Shed {
		w.result <- waitResult{err: &RefusedError{Code: problem.DeadlineTooShort}}
		return
	}
	t := p.pick(w.demand.Service.Name, w.demand.prefer, now)
	w.result <- waitResult{lease: p.take(t, w.demand, now)}
}
