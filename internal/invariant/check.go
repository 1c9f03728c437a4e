package invariant

import "fmt"

// Violation is the panic value of a broken invariant.
type Violation struct {
	// Name is the invariant's short name, as listed in docs/PROOFS.md.
	Name string
	// Detail describes the state that broke it.
	Detail string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Name, v.Detail)
}

// Check panics with a *Violation when ok is false.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	panic(&Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
}
