package catalogue

// FileEntry is an entry read from a file. The entry's revision is zero.
type FileEntry struct {
	Entry Entry
	// Base is the revision of the entry on which the file's author based this version; zero when the file has none.
	Base     Revision
	file     string
	position sectionPosition
}
