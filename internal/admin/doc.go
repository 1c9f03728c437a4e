// Package admin is the operators' administration API.
//
// A change is accepted entirely or not at all, in one commit with its audit
// record. It is refused when the operator is in no owner group of an entry
// that it edits (old and new owner when the owner changes), when an entry is
// at another revision than the one on which the edit is based, and when the
// result would not be valid. A change id is accepted once per operator: sent
// again it returns the first result, and with other content it is refused.
//
// When the platform's response to a commit is lost, the change id row is read
// back. If the outcome stays open, the call fails with *UnknownError; the
// operator sends the change again with the same id. *UnavailableError says
// that nothing was changed.
//
// An issued key is returned once. Only its hash leaves the process otherwise.
package admin
