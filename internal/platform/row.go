package platform

// Row is one row of the table. Value must not be modified.
type Row struct {
	Key   string
	Value []byte
	// Revision is the commit that last wrote the row; zero when it was never written.
	Revision Revision
	// Deleted marks a row that was deleted at Revision.
	Deleted bool
}

// Exists reports whether the row has been written and not deleted since.
func (r Row) Exists() bool {
	return r.Revision != 0 && !r.Deleted
}
