// Package ledgerrun issues tickets and decides sends for the request path. It
// keeps the ledgers that this daemon holds, forwards sends with other tickets
// to the daemon that holds their records, and passes keys that callers choose
// to package claims. It does not dispatch requests.
//
// Failure behaviour: when the holder of a ticket's records does not respond,
// the send is refused and was not run; a Cancel is sent to the holder, which
// may have recorded a claim. If the Cancel is lost too, the outcome of the
// ticket is unknown. A Finish that cannot reach the holder is retried a few
// times and then dropped, which also leaves the outcome unknown.
package ledgerrun
