// Package claims claims the idempotency keys that callers choose themselves, in
// the platform's table, before the request is dispatched.
//
// Every key has one row, named by the hash of customer and key. A claim is a
// conditional write of the row with a fresh claim id. The claims of a daemon
// are committed in groups: at most Settings.BatchSize rows per commit and one
// commit per Settings.CommitInterval on average. Outcomes, releases and the
// removal of old rows ride in the same groups, after the claims.
//
// Failure behaviour: when the platform certainly did not commit, the send is
// refused and nothing remains. When the outcome of a commit is unknown, the
// rows are read back and the same commit is repeated with the same claim ids,
// which cannot take effect twice. A send whose claim stays unresolved for
// Settings.MaxWait is refused without being dispatched; its key then resolves
// to unknown at other daemons until this one, which knows that it dispatched
// nothing, has written that to the row. A daemon that is lost between claim
// and outcome leaves a row that resolves to unknown.
//
// Rows are removed by the daemon that wrote them, Settings.Window after its
// last write; a key sent again later is a new request. Rows of a lost daemon stay.
//
// Memory: at most Settings.MaxRows rows of about 350 bytes, plus
// Settings.MaxPendingBytes of responses that are not yet written.
package claims
