// Package platform is the interface to the platform: a transactional table
// service and an object store, with an in-memory implementation and a twirp
// client and server.
//
// A commit applies all of its writes or none, and only when the row revisions
// that it names are the current ones. Reads are linearizable: a read that
// begins after a commit returned sees that commit.
//
// Failures are typed. *NotDoneError means that the call had no effect.
// *OutcomeUnknownError means that a write may have taken effect, or may
// still do so; the caller resolves it by reading back a row that only this
// write creates. *ConflictError means that a condition failed, so that nothing
// was written, and carries the current rows. Reads fail with *NotDoneError only.
package platform
