package admin

import (
	"fmt"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

// InvalidError reports a change that would not be valid.
type InvalidError struct {
	Problems []catalogue.Problem
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid change, %d problems, first: %v", len(e.Problems), e.Problems[0])
}
