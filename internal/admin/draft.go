package admin

import (
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
)

// Bounds of the texts of a change.
const (
	// maxChangeIDBytes bounds a change id.
	maxChangeIDBytes = 100
	// maxWhyBytes bounds the reason of a change. It fits an emergency revocation record.
	maxWhyBytes = 250
)

// draft is a change that an operator asked for.
type draft struct {
	operator Operator
	// authorized says that the owner check was already made, by the daemon at
	// which an emergency revocation was entered.
	authorized  bool
	id          catalogue.ChangeID
	why         string
	fingerprint cataloguestore.Fingerprint
	intents     []intent
	dryRun      bool
}

// refs returns the names of the edited entries.
func (d *draft) refs() []catalogue.Ref {
	refs := make([]catalogue.Ref, 0, len(d.intents))
	for _, i := range d.intents {
		refs = append(refs, i.ref)
	}
	return refs
}
