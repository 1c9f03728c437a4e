package invariant

import "fmt"

// Violation is the value that a failed Check panics with.
type Violation struct {
	// Name is the short name of the invariant, as listed in docs/PROOFS.md.
	Name string
	// Detail describes the state that violated it.
	Detail string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Name, v.Detail)
}

// Check panics with a *Violation if ok is false. The format and args become its Detail.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	panic(&Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
}
