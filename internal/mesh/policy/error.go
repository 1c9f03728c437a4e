package policy

import "fmt"

// InvalidError reports an invalid configuration.
type InvalidError struct {
	Version Version
	// Item names the invalid part, for example "route r-1".
	Item   string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration %d, %s: %s", e.Version, e.Item, e.Reason)
}
