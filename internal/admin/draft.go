package admin

import (
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
)

// Limits of the text fields of a change.
const (
	// maxChangeIDBytes bounds a change id.
	maxChangeIDBytes = 100
	// maxWhyBytes bounds the reason of a change, so that it fits into an
	// emergency revocation record.
	maxWhyBytes = 250
)

// draft is a change as an operator requested it.
type draft struct {
	operator Operator
	// authorized skips the owner check: the daemon that accepted the emergency
	// revocation has already made it.
	authorized  bool
	id          catalogue.ChangeID
	why         string
	fingerprint cataloguestore.Fingerprint
	edits       []editRequest
	dryRun      bool
}

// refs returns the names of the edited entries.
func (d *draft) refs() []catalogue.Ref {
	refs := make([]catalogue.Ref, 0, len(d.edits))
	for _, edit := range d.edits {
		refs = append(refs, edit.ref)
	}
	return refs
}
