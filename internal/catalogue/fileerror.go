package catalogue

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// FileError is one error in a catalogue file.
type FileError struct {
	File string
	// Line counts from 1; zero when the error has no line.
	Line int
	// Key is the invalid key, for example "route.path_prefix".
	Key    string
	Reason string
}

// Error returns the form "file:line: key: reason".
func (e FileError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Reason)
}

// FileErrors holds all errors found in catalogue files.
type FileErrors []FileError

// Error returns one line per error.
func (e FileErrors) Error() string {
	lines := make([]string, 0, len(e))
	for _, one := range e {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}

// errorOrNil sorts the errors by file and line and returns them, or nil when there are none.
func (e FileErrors) errorOrNil() error {
	if len(e) == 0 {
		return nil
	}
	slices.SortStableFunc(e, func(a, b FileError) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return e
}
