package catalogue

import (
	"errors"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// MaxFileBytes bounds a catalogue file.
const MaxFileBytes = 16 << 20

// sectionNames are the headers that a catalogue file may have. There is none for
// API keys, because they are issued and never written in files.
var sectionNames = []string{"host", "service", "customer", "route", "delete"}

// Load reads a catalogue file and validates each entry without its references;
// for those, see CheckReferences. name is used in errors. Error: FileErrors, with
// every error found.
func Load(name string, data []byte) (*File, error) {
	l := &loader{name: name, file: &File{}}
	if len(data) > MaxFileBytes {
		l.addError(0, "file", fmt.Sprintf("is larger than %d bytes", MaxFileBytes))
		return nil, l.errors.errorOrNil()
	}
	var document map[string]any
	if err := toml.Unmarshal(data, &document); err != nil {
		l.addSyntaxError(err)
		return nil, l.errors.errorOrNil()
	}
	l.positions = findPositions(data)
	l.readDocument(document)
	if err := l.errors.errorOrNil(); err != nil {
		return nil, err
	}
	return l.file, nil
}

// loader builds a File and collects the errors found.
type loader struct {
	name      string
	positions filePositions
	file      *File
	errors    FileErrors
}

// addError records an error.
func (l *loader) addError(line int, key, reason string) {
	l.errors = append(l.errors, FileError{File: l.name, Line: line, Key: key, Reason: reason})
}

// addSyntaxError records a syntax error.
func (l *loader) addSyntaxError(err error) {
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		l.addError(line, "syntax", decode.Error())
		return
	}
	l.addError(0, "syntax", err.Error())
}

// readDocument reads all sections.
func (l *loader) readDocument(document map[string]any) {
	for name := range document {
		if !slices.Contains(sectionNames, name) {
			l.addError(l.positions.top[name], name, "is not one of [[host]], [[service]], [[customer]], [[route]], [[delete]]")
		}
	}
	for _, name := range sectionNames {
		l.readSections(name, document[name])
	}
	l.reportDuplicates()
}

// readSections reads all sections with one header name.
func (l *loader) readSections(name string, raw any) {
	if raw == nil {
		return
	}
	list, ok := raw.([]any)
	if !ok {
		l.addError(l.positions.top[name], name, fmt.Sprintf("must be written as [[%s]]", name))
		return
	}
	for i, item := range list {
		position := l.positions.section(name, i)
		values, ok := item.(map[string]any)
		if !ok {
			l.addError(position.line, name, fmt.Sprintf("must be written as [[%s]]", name))
			continue
		}
		l.readSection(&sectionReader{file: l.name, kind: name, values: values, position: position})
	}
}

// readSection reads one section.
func (l *loader) readSection(f *sectionReader) {
	base := Revision(max(f.integer("revision", 0), 0))
	if f.kind == "delete" {
		l.readDelete(f, base)
		return
	}
	entry := readEntry(f)
	f.reportUnknown()
	if len(f.errors) == 0 {
		for _, p := range Validate(entry) {
			f.addError(p.Key, "%s", p.Reason)
		}
	}
	l.errors = append(l.errors, f.errors...)
	l.file.Entries = append(l.file.Entries, FileEntry{Entry: entry, Base: base, file: l.name, position: f.position})
}

// readDelete reads a [[delete]] section.
func (l *loader) readDelete(f *sectionReader, base Revision) {
	ref := Ref{Kind: Kind(f.text("kind", "")), ID: f.text("id", "")}
	f.reportUnknown()
	if len(f.errors) == 0 && !slices.Contains([]Kind{KindHost, KindService, KindCustomer, KindRoute}, ref.Kind) {
		f.addError("kind", "must be host, service, customer or route")
	}
	if len(f.errors) == 0 && ref.ID == "" {
		f.addError("id", "is required")
	}
	l.errors = append(l.errors, f.errors...)
	l.file.Deletes = append(l.file.Deletes, FileDelete{Ref: ref, Base: base, file: l.name, position: f.position})
}

// reportDuplicates records an error for each entry that occurs more than once.
func (l *loader) reportDuplicates() {
	first := map[Ref]int{}
	record := func(ref Ref, line int) {
		if firstLine, found := first[ref]; found && ref.ID != "" {
			l.addError(line, string(ref.Kind), fmt.Sprintf("%q was already given at line %d", ref.ID, firstLine))
			return
		}
		first[ref] = line
	}
	for _, e := range l.file.Entries {
		record(e.Entry.Ref(), e.position.line)
	}
	for _, d := range l.file.Deletes {
		record(d.Ref, d.position.line)
	}
}
