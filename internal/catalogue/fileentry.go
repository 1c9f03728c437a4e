package catalogue

// FileEntry is an entry read from a file. The entry's revision is zero.
type FileEntry struct {
	Entry Entry
	// Base is the revision on which the file's author based the entry; zero when not stated.
	Base Revision
	file string
	at   section
}
