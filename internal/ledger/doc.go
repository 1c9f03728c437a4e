// Package ledger decides which send of a non-idempotent request may run.
//
// A send is one transmission of a request by its caller. All sends of a request
// carry the same ticket, which serves as the idempotency key.
//
// A Ledger belongs to one epoch of one host slot. It issues tickets and keeps
// one claim per ticket that was allowed to run. A valid, unexpired ticket
// without a claim has not run, because the claim is recorded before the request
// is dispatched. A claim is removed only when the request is proved not to have
// run, or when the ticket has expired and can no longer run.
//
// Failure behaviour: if a ledger is lost, its claims are lost too, and its
// tickets can never run again. A ledger that is handed over allows no run after
// it is sealed; it is reopened only while it is certain that the receiver
// cannot activate its copy. When the claim table is full, unclaimed tickets are
// refused; claims are never evicted. When the stored responses reach their
// limit, the oldest are dropped and their tickets are answered RanNotKept.
//
// Memory: at most Settings.MaxClaims claims of about 140 bytes each, index and
// expiry lists included, plus Settings.MaxStoredBytes of responses. At r claims
// per second, MaxClaims must be at least r x the retention, which is Window + 5%.
//
// The package does no I/O, starts no goroutine and reads no clock. A Ledger is
// not safe for concurrent use.
package ledger
