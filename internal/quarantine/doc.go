// Package quarantine detects requests that crash the targets that run them
// (poison requests).
//
// A fingerprint that was in flight when a target crashed is a suspect. A run of
// it that completes afterwards, on any target, clears it of that crash. A
// fingerprint with uncleared crashes of two different targets is quarantined for
// Expiry after the latest crash, unless another one was in flight at both: then
// these fingerprints run one at a time on the same target, and a third crash
// decides. All daemons choose the same target for a suspect, and its gate runs
// one suspect at a time, so that harmless requests are cleared quickly and a
// further crash has only one suspect.
//
// The evidence is two grow-only sets, crashes and clearances, published in the
// host's membership record. Their union does not depend on the order, the
// duplication or the loss of messages, and all daemons with the same evidence
// reach the same verdict.
//
// Failure behaviour: until a crash is known everywhere, the request may run once
// more; until a clearance has arrived, a harmless request may be refused.
// Nothing is persisted.
//
// Quarantine does no I/O and is not safe for concurrent use; Shared is.
package quarantine
