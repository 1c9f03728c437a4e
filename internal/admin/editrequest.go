package admin

import "buckthornlatch.example/buckthornlatch/internal/catalogue"

// editRequest is one edit of a draft.
type editRequest struct {
	ref catalogue.Ref
	// expected is the revision on which the edit is based; zero when the entry must not exist.
	expected catalogue.Revision
	// anyRevision disables the check of expected.
	anyRevision bool
	// build returns the new entry; nil deletes the entry.
	build func(current catalogue.Entry, snapshot *catalogue.Snapshot) (catalogue.Entry, error)
}
