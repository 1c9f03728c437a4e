// Package balancer chooses the target for a request (load balancing).
//
// Pick compares a few random candidates of a service (power of two choices) by
// load, latency and weight. It prefers the local host and then the local
// failure domain when candidates are about equal, and never returns an excluded
// target. Its cost does not depend on the number of targets, except when nearly
// all candidates are excluded.
//
// Failures of the path from this daemon to a gate (connect failures, stalled
// connections) are tracked locally, with exponential backoff. They are never
// published, so a one-way partition only removes a gate from this daemon's
// candidates and ejects no target.
//
// Failure behaviour: when every gate of a service is suspected or in backoff,
// Pick falls back to one of them instead of failing. Pick never returns a
// draining target; an ejected one gets only single idempotent trial requests
// once its gate allows them.
//
// Balancer does no I/O and is not safe for concurrent use; Shared is.
package balancer
