package command

import (
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/tomlfile"
)

// Exit codes of the binary.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitBadInput = 2
)

// InputError reports bad input; nothing was applied.
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
	var faults tomlfile.Faults
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &input), errors.As(err, &file), errors.As(err, &faults):
		return ExitBadInput
	default:
		return ExitFailure
	}
}
