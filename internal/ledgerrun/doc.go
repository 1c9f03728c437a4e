// Package ledgerrun is the request path's access to tickets and claims. It
// keeps the ledgers that this daemon holds, finds the holder of every other
// ticket, and passes callers' own keys to package claims.
//
// Failure behaviour: when the holder of a ticket's records does not answer,
// the send is refused and was not run; the caller of Begin cancels the claim
// that the holder may have recorded. If that is lost too, the ticket ends as
// unknown. A Finish that cannot reach the holder is repeated a few times and
// then dropped, which also ends the ticket as unknown. Nothing is dispatched
// by this package.
package ledgerrun
