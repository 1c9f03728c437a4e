package fairqueue

import "buckthornlatch.example/buckthornlatch/internal/id"

// MaxWeight is the largest effective weight of a customer.
const MaxWeight = 1000

// virtualTime is a point or span of the virtual time of start-time fair queueing.
type virtualTime int64

// unitCost is the cost of one request at weight 1. It is small enough that the
// virtual time does not overflow for centuries.
const unitCost virtualTime = 1_000_000

// flow holds the waiting requests of one customer, oldest first.
type flow struct {
	customer id.CustomerID
	weight   int
	first    *item
	last     *item
	length   int
	// startTag is the start tag of the first request or, if the flow is empty, the earliest
	// start tag of the next one.
	startTag virtualTime
	// readyIndex, lengthIndex and idleIndex are the flow's indexes in the queue's heaps, or -1.
	readyIndex, lengthIndex, idleIndex int
}

// cost returns the cost of one request in virtual time.
func (f *flow) cost() virtualTime {
	return unitCost / virtualTime(f.weight)
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

// unlink removes a request at any position.
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

// relativelyLonger reports whether queue A is longer relative to its weight than
// queue B.
func relativelyLonger(lengthA, weightA, lengthB, weightB int) bool {
	return lengthA*weightB > lengthB*weightA
}
