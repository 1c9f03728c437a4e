package gate

import "buckthornlatch.example/buckthornlatch/internal/mesh/link"

// forbiddenError reports an attempt that was not permitted any more when it was about to be handed to the target, or while it
// was. That is no failure of the target.
type forbiddenError struct {
	reason link.Reason
}

// Error implements error.
func (e *forbiddenError) Error() string {
	return "the attempt may not be sent any more: " + string(e.reason)
}
