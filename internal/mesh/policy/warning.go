package policy

import "fmt"

// Warning reports a part of a configuration that is not in force as the operator wrote it.
type Warning struct {
	// Item names the part, for example "route r-1".
	Item string
	// Reason says what is wrong and what is done instead.
	Reason string
}

// String returns the warning as one line.
func (w Warning) String() string {
	return fmt.Sprintf("%s: %s", w.Item, w.Reason)
}
