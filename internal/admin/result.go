package admin

import "buckthornlatch.example/buckthornlatch/internal/catalogue"

// result is the outcome of a draft.
type result struct {
	revision catalogue.Revision
	replayed bool
	edits    []catalogue.Edit
}
