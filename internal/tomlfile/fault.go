package tomlfile

import (
	"fmt"
	"strings"
)

// Fault is one error in a file.
type Fault struct {
	File string
	// Line counts from 1; zero if the fault has no position in the file.
	Line int
	// Key is the dotted key, with the index of each array element, for example "operators[0].name".
	Key string
	// Reason describes the fault and, where it applies, what was expected.
	Reason string
}

// String returns "file:line: key: reason".
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Reason)
	return b.String()
}
