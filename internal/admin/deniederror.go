package admin

import (
	"fmt"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

// DeniedError reports an operator who may not change an entry.
type DeniedError struct {
	Operator string
	Ref      catalogue.Ref
	// Owner is the owner group that the operator lacks.
	Owner string
}

// Error implements error.
func (e *DeniedError) Error() string {
	return fmt.Sprintf("operator %s is not in group %q, which owns %s", e.Operator, e.Owner, e.Ref)
}
