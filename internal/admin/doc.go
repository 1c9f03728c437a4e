// Package admin implements the administration API for operators.
//
// A change is atomic: it is committed as a whole, together with its audit
// record. It is refused when the operator is in no owner group of an entry
// that it edits (old and new owner when the owner changes), when an entry is
// at another revision than the one on which the edit is based, and when the
// result would not be valid. A change id is an idempotency key, accepted once
// per operator: a retry returns the first result, and reuse with other content
// is refused.
//
// When the platform's response to a commit is lost, the change id row is read
// back. If the outcome remains unknown, the call fails with *OutcomeUnknownError; the
// operator retries with the same id. *UnavailableError means that nothing was
// changed.
//
// An issued key is returned once. Otherwise only its hash leaves the process.
package admin
