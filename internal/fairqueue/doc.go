// Package fairqueue implements a bounded queue that serves customers by weighted
// start-time fair queueing (SFQ).
//
// Each request costs one unit of service. While two customers are backlogged,
// their normalized service, which is the service divided by the weight, differs
// by at most the sum of the reciprocals of their weights. A customer gets no
// credit for idle time and no advantage from a queue that empties between two
// requests.
//
// The number of waiting requests is limited per customer and in total. When the
// queue is full, the last request of the customer with the longest queue relative
// to its weight is shed, so that a customer with a shorter queue can still
// enqueue. Requests whose remaining time is shorter than the expected service
// time are refused on arrival and shed before dispatch. Every request leaves the
// queue exactly once: through Next, as shed, or through Remove.
//
// Operations take O(log n) for n customers with waiting requests. For other
// customers the queue keeps state only until the virtual time has reached the
// finish tag of their last served request.
//
// The package does no I/O, starts no goroutines and is not safe for concurrent
// use. Violated invariants panic through package invariant.
package fairqueue
