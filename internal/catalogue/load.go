package catalogue

import (
	"errors"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// MaxFileBytes bounds a catalogue file.
const MaxFileBytes = 16 << 20

// sectionNames are the headers that a catalogue file may have. Keys are issued,
// never written in files.
var sectionNames = []string{"host", "service", "customer", "route", "delete"}

// Load reads a catalogue file and checks every entry by itself. name is used
// in errors. Error: FileErrors, with every mistake found.
func Load(name string, data []byte) (*File, error) {
	l := &loader{name: name, file: &File{}}
	if len(data) > MaxFileBytes {
		l.fail(0, "file", fmt.Sprintf("is larger than %d bytes", MaxFileBytes))
		return nil, l.errors.orNil()
	}
	var document map[string]any
	if err := toml.Unmarshal(data, &document); err != nil {
		l.syntax(err)
		return nil, l.errors.orNil()
	}
	l.positions = findPositions(data)
	l.document(document)
	if err := l.errors.orNil(); err != nil {
		return nil, err
	}
	return l.file, nil
}

// loader builds a File and collects mistakes.
type loader struct {
	name      string
	positions positions
	file      *File
	errors    FileErrors
}

// fail records a mistake.
func (l *loader) fail(line int, key, reason string) {
	l.errors = append(l.errors, FileError{File: l.name, Line: line, Key: key, Reason: reason})
}

// syntax records a syntax error.
func (l *loader) syntax(err error) {
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		l.fail(line, "syntax", decode.Error())
		return
	}
	l.fail(0, "syntax", err.Error())
}

// document reads all sections.
func (l *loader) document(document map[string]any) {
	for name := range document {
		if !slices.Contains(sectionNames, name) {
			l.fail(l.positions.top[name], name, "is not one of [[host]], [[service]], [[customer]], [[route]], [[delete]]")
		}
	}
	for _, name := range sectionNames {
		l.sections(name, document[name])
	}
	l.duplicates()
}

// sections reads all sections of one name.
func (l *loader) sections(name string, raw any) {
	if raw == nil {
		return
	}
	list, ok := raw.([]any)
	if !ok {
		l.fail(l.positions.top[name], name, fmt.Sprintf("must be written as [[%s]]", name))
		return
	}
	for i, item := range list {
		position := l.positions.at(name, i)
		values, ok := item.(map[string]any)
		if !ok {
			l.fail(position.line, name, fmt.Sprintf("must be written as [[%s]]", name))
			continue
		}
		l.section(&fields{file: l.name, kind: name, values: values, position: position})
	}
}

// section reads one section.
func (l *loader) section(f *fields) {
	base := Revision(max(f.integer("revision", 0), 0))
	if f.kind == "delete" {
		l.remove(f, base)
		return
	}
	entry := readEntry(f)
	f.unknown()
	if len(f.errors) == 0 {
		for _, p := range Validate(entry) {
			f.fail(p.Key, "%s", p.Reason)
		}
	}
	l.errors = append(l.errors, f.errors...)
	l.file.Entries = append(l.file.Entries, FileEntry{Entry: entry, Base: base, file: l.name, at: f.position})
}

// remove reads a deletion.
func (l *loader) remove(f *fields, base Revision) {
	ref := Ref{Kind: Kind(f.text("kind", "")), ID: f.text("id", "")}
	f.unknown()
	if len(f.errors) == 0 && !slices.Contains([]Kind{KindHost, KindService, KindCustomer, KindRoute}, ref.Kind) {
		f.fail("kind", "must be host, service, customer or route")
	}
	if len(f.errors) == 0 && ref.ID == "" {
		f.fail("id", "is required")
	}
	l.errors = append(l.errors, f.errors...)
	l.file.Deletes = append(l.file.Deletes, FileDelete{Ref: ref, Base: base, file: l.name, at: f.position})
}

// duplicates records entries that occur twice.
func (l *loader) duplicates() {
	first := map[Ref]int{}
	note := func(ref Ref, line int) {
		if at, twice := first[ref]; twice && ref.ID != "" {
			l.fail(line, string(ref.Kind), fmt.Sprintf("%q was already given at line %d", ref.ID, at))
			return
		}
		first[ref] = line
	}
	for _, e := range l.file.Entries {
		note(e.Entry.Ref(), e.at.line)
	}
	for _, d := range l.file.Deletes {
		note(d.Ref, d.at.line)
	}
}
