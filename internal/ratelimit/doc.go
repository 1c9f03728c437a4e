// Package ratelimit admits requests under each customer's rate and burst, which
// are enforced across the whole fleet.
//
// A customer's limit is split exactly over its homes. A Home keeps one token
// bucket per customer that it is a home of and grants tokens to entries.
// An Entry spends granted tokens and requests more from homes.
//
// A home moves granted tokens from the bucket's level to its outstanding sum
// and keeps level + outstanding within the capacity of its share. An entry may
// spend a grant for GrantValidity, measured on its own clock from before it sent
// the request; the home counts the grant as outstanding for GrantHold. The hold
// outlasts the validity even if each clock drifts by MaxDriftPercent, so over every
// window t no more than burst + rate*t requests are admitted, even if messages
// are lost, delayed, duplicated or reordered. A lost message can waste tokens,
// which refill, but never creates any.
//
// A home refills its buckets slower than the configured rate by MaxDriftPercent, so
// that a fast clock does not exceed the rate. A new epoch of a home starts with
// empty buckets.
//
// The package does no I/O, starts no goroutines and is not safe for concurrent
// use. Violated invariants panic through package invariant.
package ratelimit
