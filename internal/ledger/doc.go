// Package ledger decides which send of a non-idempotent request may run.
//
// A Ledger belongs to one epoch of one host slot. It issues tickets and keeps
// one claim per ticket that was ever allowed to run. A valid, unexpired ticket
// without a claim has provably not run, because the claim is made before the
// request is dispatched. A claim is removed only by a proved not-run or after
// the ticket can no longer run.
//
// Failure behaviour: a ledger that is lost takes its claims with it, and its
// tickets can never run again. A ledger that is handed over refuses every run
// from the moment it is sealed; it is reopened only while the receiver provably
// cannot activate its copy. When the claim table is full, unclaimed tickets are
// refused; claims are never evicted. When the stored responses reach their
// limit, the oldest are dropped and their tickets answer RanNotKept.
//
// Memory: at most Settings.MaxClaims claims of about 140 bytes each, index and
// expiry lists included, plus Settings.MaxStoredBytes of responses. A rate of r claims per
// second needs MaxClaims >= r x Settings.keep().
//
// The package does no I/O, starts no goroutine and reads no clock. A Ledger is
// not safe for concurrent use.
package ledger
