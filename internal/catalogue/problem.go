package catalogue

import "fmt"

// Problem is one reason why an entry is invalid.
type Problem struct {
	Ref Ref
	// Key is the invalid key in the entry's TOML form.
	Key    string
	Reason string
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: %s: %s", p.Ref, p.Key, p.Reason)
}
