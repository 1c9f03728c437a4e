package audit

import "buckthornlatch.example/buckthornlatch/internal/catalogue"

// Page is a part of the trail, oldest first.
type Page struct {
	Changes []*catalogue.Change
	// Through is the last revision read; the next page follows it.
	Through catalogue.Revision
	More    bool
}
