package command

import (
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

// Exit codes of the binary.
const (
	exitOK       = 0
	exitFailure  = 1
	exitBadInput = 2
)

// InputError reports bad input: nothing was sent or applied.
type InputError struct {
	Err error
}

// Error implements error.
func (e *InputError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *InputError) Unwrap() error {
	return e.Err
}

// ExitCode returns the process's exit code for the result of a subcommand.
func ExitCode(err error) int {
	var input *InputError
	var file catalogue.FileErrors
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &input), errors.As(err, &file):
		return exitBadInput
	default:
		return exitFailure
	}
}
