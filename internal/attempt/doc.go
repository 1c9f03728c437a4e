// Package attempt decides what a gate may do with each attempt and what it may say about it.
//
// An attempt arrives, is dispatched at most once and is finished with a verdict. Resolve reports the state;
// an attempt that was not dispatched by then is blocked, so that "not run" stays true. Finished and blocked
// attempts are remembered for Retention, which is longer than any attempt may last.
//
// Memory is bounded. When there are too many finished attempts, those older than MinRetention are dropped;
// if there are none, new attempts are not accepted. After a drop, Resolve answers "unknown" for attempts that
// it has not seen, until the dropped ones would have expired. Block marks are never dropped early: when
// there are too many, Resolve answers "unknown" without blocking.
//
// The package does no I/O and is not safe for concurrent use.
package attempt
