package admin

import "buckthornlatch.example/buckthornlatch/internal/catalogue"

// intent is one edit that an operator asked for.
type intent struct {
	ref catalogue.Ref
	// expected is the revision on which the edit is based; zero when the entry must not exist.
	expected catalogue.Revision
	// anyRevision leaves expected out of account.
	anyRevision bool
	// build returns the new entry, nil to delete it.
	build func(current catalogue.Entry, snapshot *catalogue.Snapshot) (catalogue.Entry, error)
}
