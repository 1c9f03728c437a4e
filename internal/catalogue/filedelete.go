package catalogue

// FileDelete is a deletion read from a file.
type FileDelete struct {
	Ref Ref
	// Base is the revision on which the file's author based the deletion; zero when not stated.
	Base Revision
	file string
	at   section
}
