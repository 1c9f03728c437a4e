package fairqueue

import "buckthornlatch.example/buckthornlatch/internal/id"

// MaxWeight is the largest weight.
const MaxWeight = 1000

// tag is virtual time. A request of a customer with weight 1 costs costUnit.
type tag int64

// costUnit is the cost of one request at weight 1. It is small enough that the
// virtual time does not overflow in centuries.
const costUnit tag = 1_000_000

// flow holds the waiting requests of one customer, oldest first.
type flow struct {
	customer id.CustomerID
	weight   int
	first    *item
	last     *item
	length   int
	// start is the start tag of the first request; for an empty flow, of the next one.
	start tag
	// ready, long and idle are the positions in the queue's heaps, or -1.
	ready, long, idle int
}

// cost returns the virtual time that one request takes.
func (f *flow) cost() tag {
	return costUnit / tag(f.weight)
}

// push appends a request.
func (f *flow) push(i *item) {
	i.flow = f
	i.previous = f.last
	if f.last == nil {
		f.first = i
	} else {
		f.last.next = i
	}
	f.last = i
	f.length++
}

// unlink removes a request from any position.
func (f *flow) unlink(i *item) {
	if i.previous == nil {
		f.first = i.next
	} else {
		i.previous.next = i.next
	}
	if i.next == nil {
		f.last = i.previous
	} else {
		i.next.previous = i.previous
	}
	f.length--
	i.flow, i.previous, i.next = nil, nil, nil
}

// relativelyLonger reports whether a queue of length x at weight v is longer
// relative to its weight than one of length y at weight w.
func relativelyLonger(x, v, y, w int) bool {
	return x*w > y*v
}
