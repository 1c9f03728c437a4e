package catalogue

import "fmt"

// Ref names one entry.
type Ref struct {
	Kind Kind
	// ID is the entry's identifier, unique among the entries of its kind.
	ID string
}

// String returns the form "kind/id".
func (r Ref) String() string {
	return fmt.Sprintf("%s/%s", r.Kind, r.ID)
}
