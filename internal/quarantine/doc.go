// Package quarantine finds requests that crash the targets that run them.
//
// A fingerprint that was in flight when a target crashed is a suspect. A run of
// it that completes afterwards, anywhere, clears it of that crash. A fingerprint
// with uncleared crashes of two different targets is quarantined for Expiry
// after the latest crash, unless another one was in flight at both: then the
// candidates take turns on one target, and a third crash decides. Suspects run
// on the target that every daemon chooses alike and one at a time there, so
// that innocent ones are cleared quickly and a guilty one crashes alone.
//
// The evidence is two grow-only sets, crashes and clearances, published in the
// host's membership record. Their union does not depend on the order, the
// repetition or the loss of messages, and all daemons with the same evidence
// reach the same verdict.
//
// Failure behaviour: evidence that has not arrived lets a request run once
// more; a clearance that has not arrived refuses an innocent request until it
// does. Nothing is persisted.
//
// Quarantine does no I/O and is not safe for concurrent use; Shared is.
package quarantine
