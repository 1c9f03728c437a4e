// Package slots hands out the slots of a gate's services, in the order of a
// fair queue per service.
//
// Acquire blocks until a slot is free, the caller's context ends, the caller's
// remaining time is over, or the queue sheds the request. A request that did
// not get a slot has not run. The service time is estimated from finished
// slots and used to refuse requests that cannot finish in time.
//
// All methods are safe for concurrent use.
package slots
