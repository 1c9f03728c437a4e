package fairqueue

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// Queue is a fair queue of one service.
type Queue struct {
	config Config
	flows  map[id.CustomerID]*flow
	items  map[Ticket]*item
	ready  *flowHeap
	long   *flowHeap
	idle   *flowHeap
	// virtual is the start tag of the request served last.
	virtual    tag
	nextTicket Ticket
}

// New returns an empty queue.
func New(config Config) *Queue {
	return &Queue{
		config: config,
		flows:  map[id.CustomerID]*flow{},
		items:  map[Ticket]*item{},
		ready:  newReadyHeap(),
		long:   newLongHeap(),
		idle:   newIdleHeap(),
	}
}

// SetConfig changes the bounds. Requests above smaller bounds stay queued.
func (q *Queue) SetConfig(config Config) {
	q.config = config
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.items)
}

// LenOf returns the number of waiting requests of a customer.
func (q *Queue) LenOf(customer id.CustomerID) int {
	if f := q.flows[customer]; f != nil {
		return f.length
	}
	return 0
}

// Flows returns the number of customers that the queue keeps state for.
func (q *Queue) Flows() int {
	return len(q.flows)
}

// Enqueue adds a request. Expected is the expected service time. The returned
// Shed, if any, is the waiting request that made room; a *Refusal means that
// the request was not added.
func (q *Queue) Enqueue(now clock.Time, r Request, expected time.Duration) (Ticket, *Shed, *Refusal) {
	weight := min(max(r.Weight, 1), MaxWeight)
	if r.Remaining <= 0 || r.Remaining < expected {
		return 0, nil, &Refusal{Reason: DeadlineTooShort, Expected: expected}
	}
	if q.LenOf(r.Customer) >= q.config.perCustomer() {
		return 0, nil, &Refusal{Reason: CustomerBound}
	}
	var shed *Shed
	if len(q.items) >= q.config.Limit {
		if shed = q.makeRoom(r.Customer, weight); shed == nil {
			return 0, nil, &Refusal{Reason: QueueFull}
		}
	}
	return q.add(now, r, weight), shed, nil
}

// makeRoom sheds the last request of the relatively longest flow, unless the
// newcomer's flow would be the longest one.
func (q *Queue) makeRoom(customer id.CustomerID, weight int) *Shed {
	longest := q.long.top()
	if longest == nil || longest.customer == customer ||
		!relativelyLonger(longest.length, longest.weight, q.LenOf(customer)+1, weight) {
		return nil
	}
	ticket := longest.last.ticket
	q.drop(longest.last)
	return &Shed{Ticket: ticket, Refusal: &Refusal{Reason: QueueFull}}
}

// add appends the request to its customer's flow.
func (q *Queue) add(now clock.Time, r Request, weight int) Ticket {
	f := q.flows[r.Customer]
	if f == nil {
		f = &flow{customer: r.Customer, start: q.virtual, ready: -1, long: -1, idle: -1}
		q.flows[r.Customer] = f
	}
	if f.length == 0 {
		f.start = max(f.start, q.virtual)
		q.idle.remove(f)
	}
	f.weight = weight
	q.nextTicket++
	i := &item{ticket: q.nextTicket, deadline: now.Add(r.Remaining)}
	q.items[i.ticket] = i
	f.push(i)
	q.ready.set(f)
	q.long.set(f)
	q.check()
	return i.ticket
}

// Next removes and returns the request to serve next, and the requests that
// were shed on the way because they can no longer finish in time.
func (q *Queue) Next(now clock.Time, expected time.Duration) (Ticket, bool, []Shed) {
	var shed []Shed
	for f := q.ready.top(); f != nil; f = q.ready.top() {
		i := f.first
		if i.deadline.Sub(now) < expected || i.deadline <= now {
			shed = append(shed, Shed{i.ticket, &Refusal{Reason: DeadlineTooShort, Expected: expected}})
			q.drop(i)
			continue
		}
		ticket := i.ticket
		q.serve(f)
		return ticket, true, shed
	}
	return 0, false, shed
}

// serve advances the virtual time and removes the flow's first request.
func (q *Queue) serve(f *flow) {
	invariant.Check(f.start >= q.virtual, "fair-queue-virtual-time",
		"start tag %d is before the virtual time %d", f.start, q.virtual)
	q.virtual = f.start
	f.start += f.cost()
	q.drop(f.first)
	q.forget()
}

// Remove takes a request out, for example because its caller left. It reports
// whether the request was waiting.
func (q *Queue) Remove(ticket Ticket) bool {
	i := q.items[ticket]
	if i == nil {
		return false
	}
	q.drop(i)
	return true
}

// drop removes a waiting request from all structures.
func (q *Queue) drop(i *item) {
	f := i.flow
	delete(q.items, i.ticket)
	f.unlink(i)
	if f.length > 0 {
		q.ready.set(f)
		q.long.set(f)
		return
	}
	q.ready.remove(f)
	q.long.remove(f)
	q.idle.set(f)
	q.forget()
}

// forget drops the empty flows whose service is accounted for. When nothing
// waits, every flow starts anew, which favours none.
func (q *Queue) forget() {
	for f := q.idle.top(); f != nil; f = q.idle.top() {
		if f.start > q.virtual && len(q.items) > 0 {
			return
		}
		q.virtual = max(q.virtual, f.start)
		q.idle.remove(f)
		delete(q.flows, f.customer)
	}
}

// check asserts that every waiting request is in exactly one flow.
func (q *Queue) check() {
	invariant.Check(len(q.ready.flows)+len(q.idle.flows) == len(q.flows), "fair-queue-flows",
		"%d backlogged and %d empty flows, but %d known", len(q.ready.flows), len(q.idle.flows), len(q.flows))
}
