package catalogue

// FileDelete is a deletion read from a file.
type FileDelete struct {
	Ref Ref
	// Base is the revision of the entry on which the file's author based the deletion; zero when the file has none.
	Base     Revision
	file     string
	position sectionPosition
}
