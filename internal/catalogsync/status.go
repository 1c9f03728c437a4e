package catalogsync

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// Status describes a daemon's copy of the catalogue.
type Status struct {
	// Revision is the revision of the copy.
	Revision catalogue.Revision
	// Confirmed is true once the platform's changes were read to their end.
	Confirmed bool
	// ConfirmedAt is the time just before the last read began that found no
	// further changes.
	ConfirmedAt clock.Time
	// Failures is the number of consecutive failed polls.
	Failures int
}

// Age returns the time since ConfirmedAt; ok is false when the copy was never
// confirmed.
func (s Status) Age(now clock.Time) (age time.Duration, ok bool) {
	return now.Sub(s.ConfirmedAt), s.Confirmed
}
