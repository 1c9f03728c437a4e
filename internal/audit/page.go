package audit

import "buckthornlatch.example/buckthornlatch/internal/catalogue"

// Page is one page of the audit trail, oldest change first.
type Page struct {
	Changes []*catalogue.Change
	// Through is the last revision read, matching or not. Pass it as Query.After to read the next page.
	Through catalogue.Revision
	More    bool
}
