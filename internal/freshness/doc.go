// Package freshness decides until when a daemon may rely on its copy of the
// API keys.
//
// A daemon is fresh for Window after the beginning of a confirmed read of the
// platform's changes, its own or one relayed by a peer, or after the time since
// which it has heartbeats from more than half of the roster, itself included.
// All times are on the daemon's own monotonic clock; relayed ages are durations
// that the membership table has already counted from before the exchange began.
//
// Relayed reads and heartbeats count only when they were merged together with
// the catalogue changes and revocations of their sender (covered). Any two
// majorities of a roster intersect, so a revocation that a majority
// acknowledged is known to every daemon that is fresh by the second rule.
//
// Failure behaviour: without evidence a daemon is not fresh; an empty roster
// has no majority.
package freshness
