package tomlfile

import "strings"

// Faults lists all faults of a file. It implements error.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil if f is empty.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
