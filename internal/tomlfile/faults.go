package tomlfile

import "strings"

// Faults is the list of all defects of a file. It implements error.
type Faults []Fault

// Error lists the defects, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// AsError returns nil when there is no defect.
func (f Faults) AsError() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
