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

// StaleError reports edits based on other revisions than the current ones.
type StaleError struct {
	Refs []catalogue.Ref
	// Current are the entries' current states; nil for one that does not exist.
	Current []catalogue.Entry
}

// Error implements error.
func (e *StaleError) Error() string {
	text := "changed since the edit was prepared:"
	for i, ref := range e.Refs {
		if e.Current[i] == nil {
			text += fmt.Sprintf(" %s (does not exist)", ref)
			continue
		}
		text += fmt.Sprintf(" %s (now at revision %d)", ref, e.Current[i].Common().Revision)
	}
	return text
}

// InvalidError reports a change that would not be valid.
type InvalidError struct {
	Problems []catalogue.Problem
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid change, %d problems, first: %v", len(e.Problems), e.Problems[0])
}

// NotFoundError reports an entry that does not exist.
type NotFoundError struct {
	Ref catalogue.Ref
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s does not exist", e.Ref)
}

// ReusedError reports a change id that was accepted for another change.
type ReusedError struct {
	ID catalogue.ChangeID
	// Revision is the one that the other change created.
	Revision catalogue.Revision
}

// Error implements error.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("change id %q was used for another change at revision %d", e.ID, e.Revision)
}

// UnavailableError reports that the platform could not be used and that
// nothing was changed.
type UnavailableError struct {
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("nothing was changed: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}

// UnknownError reports a change that may have been accepted.
type UnknownError struct {
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown, retry with the same change id: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error {
	return e.Err
}
