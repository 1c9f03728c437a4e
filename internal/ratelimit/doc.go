// Package ratelimit decides which requests are admitted under the customers'
// rates and bursts, which hold across the whole fleet.
//
// A customer's limit is split exactly over its homes. Home keeps one token
// bucket per customer that it is a home of and grants whole tokens to entries.
// Entry spends granted tokens and asks homes for more.
//
// A home moves granted tokens from the bucket's level to its outstanding sum
// and keeps level + outstanding within the capacity of its share. An entry uses
// a grant for GrantValidity, measured on its own clock from before it sent the
// request; the home counts the grant as outstanding for GrantHold. Because the
// hold is longer than the validity even when the clocks drift apart by
// MaxDrift each, over every window t no more than burst + rate*t requests are
// admitted, whatever messages are lost, delayed, duplicated or reordered. A
// lost message costs tokens, which refill; it never creates any.
//
// A home refills MaxDrift slower than the stated rate, so that a fast clock
// does not exceed the rate. A new epoch of a home starts at level zero.
//
// The package does no I/O, starts no goroutines and is not safe for concurrent
// use. Broken invariants panic through package invariant.
package ratelimit
