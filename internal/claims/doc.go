// Package claims claims the idempotency keys that callers choose themselves, in
// the platform's table, before the request is dispatched.
//
// Every key has one row, named by the hash of customer and key. A claim is a
// conditional write of the row with a new random claim id. A daemon commits its
// claims in groups: at most Settings.BatchSize rows per commit and one commit
// per Settings.CommitInterval on average. Outcomes, releases and the removal of
// old rows are committed in the same groups, after the claims.
//
// Failure behaviour: when a commit certainly had no effect, the sends that wait
// for it are refused and their claims leave nothing behind. When the outcome of
// a commit is unknown, the rows are read back, and what is not resolved by them is
// committed again with the same claim ids, which cannot take effect twice. A send
// whose claim stays unresolved for Settings.MaxWait is refused without being
// dispatched. The row of its key may then say claimed, and other daemons answer in
// progress or unknown, until this daemon has written to the row that nothing was
// dispatched. A daemon that is lost between claim and outcome leaves a row that
// resolves to unknown.
//
// Rows are removed by the daemon that wrote them, Settings.Window after its
// last write; a key sent again later is a new request. The rows of a lost daemon
// are not removed.
//
// Memory: at most Settings.MaxRows rows of about 350 bytes, plus
// Settings.MaxPendingBytes of responses that are not yet written.
package claims
