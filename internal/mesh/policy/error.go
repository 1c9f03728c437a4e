package policy

import "fmt"

// InvalidError reports an invalid configuration.
type InvalidError struct {
	Version Version
	// Entry names the invalid part, for example "route r-1".
	Entry  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration %d, %s: %s", e.Version, e.Entry, e.Reason)
}
