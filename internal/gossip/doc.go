// Package gossip runs the membership exchange between daemons over twirp.
//
// Service owns the membership table: every access goes through View and
// Update. Run starts one exchange per period with a peer that the table
// chooses, and with a seed address while no peer is known. A change of the own
// record is pushed at once to a few peers.
//
// Failure behaviour: a failed exchange is logged, recorded as a direct contact
// failure and not repeated; the next period chooses again. Nothing is
// persisted.
package gossip
