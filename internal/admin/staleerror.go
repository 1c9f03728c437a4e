package admin

import (
	"fmt"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

// StaleError reports edits that are not based on the current revisions.
type StaleError struct {
	Refs []catalogue.Ref
	// Current are the entries' current states; nil for an entry that does not exist.
	Current []catalogue.Entry
}

// Error implements error.
func (e *StaleError) Error() string {
	text := "changed since the edit was prepared:"
	for i, ref := range e.Refs {
		if e.Current[i] == nil {
			text += fmt.Sprintf(" %s (does not exist)", ref)
			continue
		}
		text += fmt.Sprintf(" %s (now at revision %d)", ref, e.Current[i].Common().Revision)
	}
	return text
}
