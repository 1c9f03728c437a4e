package tomlfile

import (
	"fmt"
	"strings"
)

// Fault is one defect of a file.
type Fault struct {
	File string
	// Line counts from 1; zero when the defect has no place in the file.
	Line int
	// Key is the dotted key, with indexes for array tables.
	Key string
	// Reason says what is wrong and what is expected.
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
