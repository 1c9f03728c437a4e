// Package choose implements the load balancing of an entry: it picks the host for each attempt.
//
// Each gate knows its own target; an entry has only the loads that earlier answers reported and the number of its own
// attempts in flight. The older a reported load is, the closer the estimate moves to a default utilization. Hosts of
// the entry's own failure domain are preferred as long as one of them has room, because traffic between domains costs
// money and time. Package locality decides which share of the attempts without room inside may leave. Hosts of low
// utilization count as equal, so that all targets of a lightly used service get work.
//
// A host that cannot be reached or does not respond is avoided for an exponentially growing time. This is evidence
// about the network path and is not shared between entries. A host whose gate refuses because of its target's state, or
// where an attempt is overdue, is avoided for a short time.
//
// The package does no I/O and starts no goroutines. Chooser is not safe for concurrent use; Shared is.
package choose
