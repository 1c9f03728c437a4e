// Package balancer decides which target a request is sent to.
//
// Pick compares a few random candidates of a service (power of two choices) by
// load, latency and weight, prefers the own host and then the own failure
// domain when candidates are about equal, and never returns an excluded
// target. Its cost does not depend on the number of targets, except when nearly
// all candidates are excluded.
//
// Evidence about the path from here to a gate (connect failures, silent
// connections) is kept here only, with a growing backoff. It is never published,
// so a one-way partition removes a gate from this observer's choice and ejects
// no target.
//
// Failure behaviour: when every gate of a service is suspected or in backoff,
// Pick falls back to one of them rather than refuse. Draining and ejected
// targets are never returned.
//
// Balancer does no I/O and is not safe for concurrent use; Shared is.
package balancer
