// Package attempt tracks the state of each attempt at a gate: whether it may be dispatched and which verdict
// the gate may report for it.
//
// An attempt arrives, is dispatched at most once and is finished with a verdict. Resolve reports the state;
// an attempt that was not dispatched by then is blocked, so that "not run" stays true. Finished and blocked
// attempts are kept for Retention, which is longer than any attempt may last.
//
// Both kinds are limited in number. When there are too many finished attempts, those older than MinRetention
// are evicted; if there are none, new attempts are not accepted. After an eviction, Resolve answers "unknown"
// for attempts that are not in the table, until the evicted ones would have expired, and a late copy of an
// attempt, whose validity stamp has expired, is not taken for a new one. Blocked attempts are never evicted:
// when there are too many, Resolve answers "unknown" without blocking.
//
// The package does no I/O and is not safe for concurrent use.
package attempt
