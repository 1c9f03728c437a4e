package catalogue

import (
	"fmt"
	"slices"
)

// File is the content of one or more catalogue files.
type File struct {
	Entries []FileEntry
	// Deletes name the entries that the files delete.
	Deletes []FileDelete
}

// Refs returns the names of all entries and deletions, in file order.
func (f *File) Refs() []Ref {
	refs := make([]Ref, 0, len(f.Entries)+len(f.Deletes))
	for _, e := range f.Entries {
		refs = append(refs, e.Entry.Ref())
	}
	for _, d := range f.Deletes {
		refs = append(refs, d.Ref)
	}
	return refs
}

// Add appends another file's content and returns an error for each entry in
// other that f already contains or deletes.
func (f *File) Add(other *File) FileErrors {
	known := map[Ref]bool{}
	for _, ref := range f.Refs() {
		known[ref] = true
	}
	var duplicates FileErrors
	for _, e := range other.Entries {
		if ref := e.Entry.Ref(); known[ref] {
			duplicates = append(duplicates, FileError{
				File: e.file, Line: e.position.line, Key: string(ref.Kind), Reason: fmt.Sprintf("%q is in another file too", ref.ID),
			})
		}
	}
	f.Entries = append(f.Entries, other.Entries...)
	f.Deletes = append(f.Deletes, other.Deletes...)
	return duplicates
}

// Locate turns problems with the file's entries into file errors. A problem
// with an entry that the file does not contain has line zero.
func (f *File) Locate(problems []Problem) error {
	var out FileErrors
	for _, p := range problems {
		out = append(out, f.locate(p))
	}
	return out.errorOrNil()
}

// locate turns one problem into a file error.
func (f *File) locate(p Problem) FileError {
	i := slices.IndexFunc(f.Entries, func(e FileEntry) bool { return e.Entry.Ref() == p.Ref })
	if i >= 0 {
		e := f.Entries[i]
		return FileError{File: e.file, Line: e.position.lineOf(p.Key), Key: string(p.Ref.Kind) + "." + p.Key, Reason: p.Reason}
	}
	file := "catalogue"
	if len(f.Entries) > 0 {
		file = f.Entries[0].file
	} else if len(f.Deletes) > 0 {
		file = f.Deletes[0].file
	}
	return FileError{File: file, Key: p.Ref.String() + "." + p.Key, Reason: p.Reason}
}

// CheckReferences checks the references from and to the file's entries as they
// would be with the file applied to the base, usually the current catalogue or
// Empty. The base is not modified. Error: FileErrors.
func (f *File) CheckReferences(base *Snapshot) error {
	b := newBuilder(base)
	for _, e := range f.Entries {
		b.set(e.Entry)
	}
	for _, d := range f.Deletes {
		b.remove(d.Ref)
	}
	return f.Locate(b.build(base.revision).References(f.Refs()))
}
