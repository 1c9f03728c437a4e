package codec

import "fmt"

// DecodeError reports a message that is invalid, too large or cannot be encoded.
type DecodeError struct {
	// What names the message, for example "change".
	What   string
	Reason string
}

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("decode %s: %s", e.What, e.Reason)
}
