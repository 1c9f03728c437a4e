package ratesim

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fairqueue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Discipline names an order of service.
type Discipline string

// The disciplines.
const (
	Fair Discipline = "fair queue"
	FIFO Discipline = "FIFO"
)

// queue is a bounded queue of requests, which are numbered by the caller.
type queue interface {
	// enqueue reports whether the request was added, and the request shed for it or -1.
	enqueue(now time.Duration, number, customer int, remaining time.Duration) (added bool, shed int)
	// next returns the request to serve or -1, and the requests shed on the way.
	next(now time.Duration) (number int, shed []int)
}

// fairQueue adapts fairqueue.Queue.
type fairQueue struct {
	queue   *fairqueue.Queue
	numbers map[fairqueue.Ticket]int
}

// enqueue implements queue.
func (q *fairQueue) enqueue(now time.Duration, number, customer int, remaining time.Duration) (bool, int) {
	request := fairqueue.Request{Customer: id.CustomerID(rune('a' + customer)), Weight: 1, Remaining: remaining}
	ticket, shed, refusal := q.queue.Enqueue(clock.Time(now), request, 0)
	if refusal != nil {
		return false, -1
	}
	q.numbers[ticket] = number
	if shed == nil {
		return true, -1
	}
	return true, q.pop(shed.Ticket)
}

// next implements queue.
func (q *fairQueue) next(now time.Duration) (int, []int) {
	ticket, found, shed := q.queue.Next(clock.Time(now), 0)
	var out []int
	for _, s := range shed {
		out = append(out, q.pop(s.Ticket))
	}
	if !found {
		return -1, out
	}
	return q.pop(ticket), out
}

// pop forgets a ticket and returns its request.
func (q *fairQueue) pop(ticket fairqueue.Ticket) int {
	number := q.numbers[ticket]
	delete(q.numbers, ticket)
	return number
}

// fifoItem is a request in a fifoQueue.
type fifoItem struct {
	number   int
	deadline time.Duration
}

// fifoQueue serves in the order of arrival and refuses newcomers when full.
type fifoQueue struct {
	limit int
	items []fifoItem
}

// enqueue implements queue.
func (q *fifoQueue) enqueue(now time.Duration, number, _ int, remaining time.Duration) (bool, int) {
	if len(q.items) >= q.limit {
		return false, -1
	}
	q.items = append(q.items, fifoItem{number, now + remaining})
	return true, -1
}

// next implements queue.
func (q *fifoQueue) next(now time.Duration) (int, []int) {
	var shed []int
	for len(q.items) > 0 {
		first := q.items[0]
		q.items = q.items[1:]
		if first.deadline > now {
			return first.number, shed
		}
		shed = append(shed, first.number)
	}
	return -1, shed
}
