package audit

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

// Query selects changes.
type Query struct {
	// After is the revision after which reading begins.
	After catalogue.Revision
	// Limit bounds the changes read; zero or more than MaxPage means MaxPage.
	Limit int
	// Ref selects changes to one entry; zero selects all.
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
