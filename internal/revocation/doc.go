// Package revocation keeps the emergency revocations: keys that operators
// revoked while the platform could not record the change.
//
// The set only grows and replicas merge by union, so messages may be lost,
// duplicated, reordered or come from outdated replicas without a revoked key
// becoming valid again. The technique is the grow-only set (G-Set); see
// "Reading the CRDTs for Mortals Example Code", section on the grow-only set:
// union is commutative, associative and idempotent, so replicas that have
// received the same elements are equal, regardless of the order.
//
// Two daemons compare 20-byte digests to find out whether their sets differ. A
// record is in force everywhere once more than half of the roster's hosts hold
// it, because a fresh daemon hears from more than half; see Propagation. A
// record that has been written to the platform stays in the set until the
// process ends.
package revocation
