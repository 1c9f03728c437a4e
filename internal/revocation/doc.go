// Package revocation keeps the emergency revocations: keys that operators
// revoked while the platform could not record it.
//
// The set only grows and replicas merge by union, so that messages may be
// lost, repeated, reordered or come from old copies without a revoked key
// becoming valid again. The technique is the grow-only set (G-Set); see
// "Reading the CRDTs for Mortals Example Code", section on the grow-only set:
// union is commutative, associative and idempotent, so replicas that have seen
// the same elements are equal in whatever order they saw them.
//
// A digest lets two daemons find out with 20 bytes whether they differ. A record is
// in force everywhere once more than half of the roster's hosts hold it,
// because a fresh daemon hears from more than half; see Spread. A record stays
// in the set after it was written to the platform, until the process ends.
package revocation
