package fairqueue

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// Queue is the fair queue of one service.
type Queue struct {
	config   Config
	flows    map[id.CustomerID]*flow
	items    map[Ticket]*item
	ready    *flowHeap
	byLength *flowHeap
	idle     *flowHeap
	// virtualTime is the start tag of the request served last. It advances to the highest
	// start tag of all flows when no request waits.
	virtualTime virtualTime
	nextTicket  Ticket
}

// New returns an empty queue.
func New(config Config) *Queue {
	return &Queue{
		config:   config,
		flows:    map[id.CustomerID]*flow{},
		items:    map[Ticket]*item{},
		ready:    newReadyHeap(),
		byLength: newLengthHeap(),
		idle:     newIdleHeap(),
	}
}

// SetConfig changes the limits. Requests that exceed lower limits stay queued.
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

// Enqueue adds a request. expected is the expected service time. A returned Shed
// is the waiting request that was removed to make room; a *Refusal means that
// the request was not added.
func (q *Queue) Enqueue(now clock.Time, r Request, expected time.Duration) (Ticket, *Shed, *Refusal) {
	weight := min(max(r.Weight, 1), MaxWeight)
	if r.Remaining <= 0 || r.Remaining < expected {
		return 0, nil, &Refusal{Reason: DeadlineTooShort, Expected: expected}
	}
	if q.LenOf(r.Customer) >= q.config.customerLimit() {
		return 0, nil, &Refusal{Reason: CustomerQueueFull}
	}
	var shed *Shed
	if len(q.items) >= q.config.Limit {
		if shed = q.shedLongest(r.Customer, weight); shed == nil {
			return 0, nil, &Refusal{Reason: QueueFull}
		}
	}
	return q.add(now, r, weight), shed, nil
}

// shedLongest sheds the last request of the longest flow relative to its weight.
// It sheds nothing if the flow of the customer would be at least as long with the
// new request.
func (q *Queue) shedLongest(customer id.CustomerID, weight int) *Shed {
	longest := q.byLength.top()
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
		f = &flow{customer: r.Customer, startTag: q.virtualTime, readyIndex: -1, lengthIndex: -1, idleIndex: -1}
		q.flows[r.Customer] = f
	}
	if f.length == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
		q.idle.remove(f)
	}
	f.weight = weight
	q.nextTicket++
	i := &item{ticket: q.nextTicket, deadline: now.Add(r.Remaining)}
	q.items[i.ticket] = i
	f.push(i)
	q.ready.set(f)
	q.byLength.set(f)
	q.checkFlows()
	return i.ticket
}

// Next removes and returns the request to serve next. It also returns the
// requests that it shed because they can no longer finish in time.
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
	invariant.Check(f.startTag >= q.virtualTime, "fair-queue-virtual-time",
		"start tag %d is before the virtual time %d", f.startTag, q.virtualTime)
	q.virtualTime = f.startTag
	f.startTag += f.cost()
	q.drop(f.first)
	q.removeIdle()
}

// Remove removes a request, for example because its caller disconnected. It
// reports whether the request was waiting.
func (q *Queue) Remove(ticket Ticket) bool {
	i := q.items[ticket]
	if i == nil {
		return false
	}
	q.drop(i)
	return true
}

// drop removes a waiting request and updates its flow's place in the heaps.
func (q *Queue) drop(i *item) {
	f := i.flow
	delete(q.items, i.ticket)
	f.unlink(i)
	if f.length > 0 {
		q.ready.set(f)
		q.byLength.set(f)
		return
	}
	q.ready.remove(f)
	q.byLength.remove(f)
	q.idle.set(f)
	q.removeIdle()
}

// removeIdle removes the empty flows whose start tag the virtual time has
// reached. When no request waits, it removes all flows and advances the virtual
// time to their highest start tag, so that all customers start equal.
func (q *Queue) removeIdle() {
	for f := q.idle.top(); f != nil; f = q.idle.top() {
		if f.startTag > q.virtualTime && len(q.items) > 0 {
			return
		}
		q.virtualTime = max(q.virtualTime, f.startTag)
		q.idle.remove(f)
		delete(q.flows, f.customer)
	}
}

// checkFlows checks that the ready and idle heaps together have as many flows as
// the queue.
func (q *Queue) checkFlows() {
	invariant.Check(len(q.ready.flows)+len(q.idle.flows) == len(q.flows), "fair-queue-flows",
		"%d backlogged and %d empty flows, but %d known", len(q.ready.flows), len(q.idle.flows), len(q.flows))
}
