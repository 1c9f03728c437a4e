// Package membership decides what a daemon knows about the other daemons:
// their records, how recently each was heard, and which of them it suspects.
//
// Every host publishes one record, versioned by incarnation and sequence. Two
// daemons exchange digests and then the newer records (push-pull). A
// heartbeat travels as an age, an upper bound on the time since its host sent
// it, and never as a counter: a relay that was paused would otherwise pass on
// an old counter as news. Ages are durations, measured from before the
// exchange began, so no clocks of different hosts are compared.
//
// A heartbeat counts as covered only when everything that its sender carried
// with it (Rider) was accepted as well. Alive and covered times are kept
// apart: target choice uses the first, the freshness rule the second.
//
// A process counts as heard only after it was fresh without counting itself
// (Confirm), because it starts without what its predecessor acknowledged.
//
// Failure behaviour: lost, repeated and reordered messages delay knowledge
// and never make a host look more recent than it is. A host that is not heard
// is suspected by this observer only, and forgotten after Config.ForgetAfter.
//
// The package does no I/O and starts no goroutines. A Table is not safe for
// concurrent use.
package membership
