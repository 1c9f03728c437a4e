package codec

import "fmt"

// DecodeError reports bytes that are not a valid message.
type DecodeError struct {
	// What names the message, for example "change".
	What   string
	Reason string
}

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("decode %s: %s", e.What, e.Reason)
}
