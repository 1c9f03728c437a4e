// Package gossip runs the membership exchange between daemons over twirp.
//
// Service owns the membership table: every access goes through View and
// Update. Run starts one exchange per period with a peer that the table
// chooses, and also with a seed address while no peer is known, after the start
// and at long intervals. A change to the local record is pushed at once to a
// few peers.
//
// Failure behaviour: a failed exchange is logged, recorded as the failure of a
// direct call and not retried; the next period chooses a peer again. Nothing is
// persisted.
package gossip
