// Package fairqueue is a bounded queue that serves customers by start-time fair
// queueing with weights.
//
// Each request costs one unit of service. While two customers are backlogged,
// the service that they receive, each divided by its weight, differs by at most
// 1/weight of the one plus 1/weight of the other. A customer that returns after
// idle time gets no credit for it, and one whose queue empties between two
// requests gains nothing from that.
//
// The queue bounds the requests per customer and in total. When it is full, the
// last request of the customer with the longest queue relative to its weight is
// shed, so a newcomer of a small customer gets in. Requests whose remaining time
// is shorter than the expected service time are refused on arrival and shed
// before dispatch. Every request leaves exactly once: through Next, as shed, or
// through Remove.
//
// Operations take O(log n) for n customers with waiting requests; there is no
// state for others, except for customers whose last service is not yet
// accounted for by the virtual time of a backlogged queue.
//
// The package does no I/O, starts no goroutines and is not safe for concurrent
// use. Broken invariants panic through package invariant.
package fairqueue
