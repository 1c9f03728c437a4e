package admin

import (
	"fmt"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

// NotFoundError reports an entry that does not exist.
type NotFoundError struct {
	Ref catalogue.Ref
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s does not exist", e.Ref)
}
