// Package membership maintains a daemon's view of the other daemons: their
// records, the ages of their latest heartbeats, and which of them it suspects.
//
// The protocol is push-pull anti-entropy. Every host publishes one record,
// versioned by incarnation and sequence. Two daemons exchange digests and then
// the newer records. A heartbeat is sent as an age, an upper bound on the time
// since its host sent it, and never as a counter: a relay that was paused would
// otherwise forward an old counter as recent. Ages are durations, measured from
// before the exchange began, so no clocks of different hosts are compared.
//
// A heartbeat counts as covered only when all state that its sender
// piggybacked on the exchange (Rider) was merged as well. Alive and covered
// times are kept apart: target choice uses the first, the freshness rule the
// second.
//
// The heartbeats of a process count as covered only after the process was
// fresh without counting itself (Confirm), because it starts without the state
// that its predecessor acknowledged.
//
// Failure behaviour: lost, duplicated and reordered messages delay updates and
// never make a host look alive more recently than it was. A host without
// heartbeats is suspected by this observer only, and its record is removed
// after Config.ExpireAfter.
//
// The package does no I/O and starts no goroutines. A Table is not safe for
// concurrent use.
package membership
