package audit

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

// Query selects changes of the audit trail and limits how many are read.
type Query struct {
	// After is the revision after which to start reading.
	After catalogue.Revision
	// Limit is the largest number of changes to read, matching or not. Values below 1 or above MaxPageSize mean MaxPageSize.
	Limit int
	// Ref selects the changes to one catalogue entry; the zero Ref selects all.
	Ref catalogue.Ref
	// Operator selects the changes of one operator; empty selects all.
	Operator string
}

// matches reports whether the query selects the change.
func (q Query) matches(change *catalogue.Change) bool {
	if q.Operator != "" && q.Operator != change.Operator {
		return false
	}
	if q.Ref == (catalogue.Ref{}) {
		return true
	}
	return slices.ContainsFunc(change.Edits, func(e catalogue.Edit) bool { return e.Ref() == q.Ref })
}
