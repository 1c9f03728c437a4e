package daemon

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fairqueue"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// fairOrder orders the gate's waiters by fair queueing, with one queue per service. The gate
// calls it under a lock.
type fairOrder struct {
	clock  clock.Clock
	queues map[id.ServiceName]*serviceQueue
	// serviceOf maps a waiter to the service whose queue holds it.
	serviceOf map[gate.WaiterID]id.ServiceName
	shed      map[id.ServiceName][]gate.WaiterID
}

// serviceQueue is the queue of one service.
type serviceQueue struct {
	queue     *fairqueue.Queue
	estimator fairqueue.Estimator
	tickets   map[gate.WaiterID]fairqueue.Ticket
	waiters   map[fairqueue.Ticket]gate.WaiterID
}

// newFairOrder returns an empty order.
func newFairOrder(c clock.Clock) *fairOrder {
	return &fairOrder{
		clock:     c,
		queues:    make(map[id.ServiceName]*serviceQueue),
		serviceOf: make(map[gate.WaiterID]id.ServiceName),
		shed:      make(map[id.ServiceName][]gate.WaiterID),
	}
}

// Enqueue implements gate.Order.
func (o *fairOrder) Enqueue(now clock.Time, w gate.Waiter) error {
	limits := fairqueue.Config{Limit: w.Service.QueueLimit, LimitPerCustomer: w.Service.QueueLimitPerCustomer}
	q, ok := o.queues[w.Service.Name]
	if !ok {
		q = &serviceQueue{
			queue:   fairqueue.New(limits),
			tickets: make(map[gate.WaiterID]fairqueue.Ticket),
			waiters: make(map[fairqueue.Ticket]gate.WaiterID),
		}
		o.queues[w.Service.Name] = q
	}
	q.queue.SetConfig(limits)
	request := fairqueue.Request{Customer: w.Customer, Weight: w.Weight, Remaining: w.Remaining}
	ticket, shed, refusal := q.queue.Enqueue(now, request, q.estimator.Expected(now))
	if refusal != nil {
		return refusalError(refusal)
	}
	q.tickets[w.ID] = ticket
	q.waiters[ticket] = w.ID
	o.serviceOf[w.ID] = w.Service.Name
	if shed != nil {
		o.addShed(w.Service.Name, q, *shed)
	}
	return nil
}

// addShed records a shed waiter, which Next reports later.
func (o *fairOrder) addShed(service id.ServiceName, q *serviceQueue, shed fairqueue.Shed) {
	waiter, ok := o.removeTicket(q, shed.Ticket)
	if ok {
		o.shed[service] = append(o.shed[service], waiter)
	}
}

// removeTicket removes a ticket and returns its waiter.
func (o *fairOrder) removeTicket(q *serviceQueue, ticket fairqueue.Ticket) (gate.WaiterID, bool) {
	waiter, ok := q.waiters[ticket]
	delete(q.waiters, ticket)
	delete(q.tickets, waiter)
	delete(o.serviceOf, waiter)
	return waiter, ok
}

// Next implements gate.Order.
func (o *fairOrder) Next(now clock.Time, service id.ServiceName) (gate.Turn, bool) {
	if waiter, ok := o.nextShed(service); ok {
		return gate.Turn{ID: waiter, Shed: true}, true
	}
	q, ok := o.queues[service]
	if !ok {
		return gate.Turn{}, false
	}
	ticket, ok, shed := q.queue.Next(now, q.estimator.Expected(now))
	for _, s := range shed {
		o.addShed(service, q, s)
	}
	if ok {
		waiter, _ := o.removeTicket(q, ticket)
		return gate.Turn{ID: waiter}, true
	}
	waiter, ok := o.nextShed(service)
	return gate.Turn{ID: waiter, Shed: true}, ok
}

// nextShed removes and returns one waiter that was shed.
func (o *fairOrder) nextShed(service id.ServiceName) (gate.WaiterID, bool) {
	waiting := o.shed[service]
	if len(waiting) == 0 {
		return 0, false
	}
	o.shed[service] = waiting[1:]
	return waiting[0], true
}

// Remove implements gate.Order.
func (o *fairOrder) Remove(w gate.WaiterID) {
	service, ok := o.serviceOf[w]
	if !ok {
		return
	}
	q := o.queues[service]
	ticket := q.tickets[w]
	q.queue.Remove(ticket)
	o.removeTicket(q, ticket)
}

// Served implements gate.Order.
func (o *fairOrder) Served(service id.ServiceName, _ id.CustomerID, took time.Duration) {
	if q, ok := o.queues[service]; ok {
		q.estimator.Observe(o.clock.Now(), took)
	}
}

// Len implements gate.Order.
func (o *fairOrder) Len(service id.ServiceName) int {
	q, ok := o.queues[service]
	if !ok {
		return 0
	}
	return q.queue.Len()
}

// refusalError converts the queue's refusal to the gate's error.
func refusalError(r *fairqueue.Refusal) error {
	if r.Reason == fairqueue.DeadlineTooShort {
		return &gate.RefusedError{Code: problem.DeadlineTooShort}
	}
	return &gate.RefusedError{Code: problem.QueueFull, RetryAfter: r.Expected}
}
