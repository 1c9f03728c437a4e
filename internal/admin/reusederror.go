package admin

import (
	"fmt"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

// ReusedError reports a change id that was accepted for another change.
type ReusedError struct {
	ID catalogue.ChangeID
	// Revision is the revision that the other change created.
	Revision catalogue.Revision
}

// Error implements error.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("change id %q was used for another change at revision %d", e.ID, e.Revision)
}
