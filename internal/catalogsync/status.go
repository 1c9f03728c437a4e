package catalogsync

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// Status describes a daemon's copy of the catalogue.
type Status struct {
	// Revision is the applied revision.
	Revision catalogue.Revision
	// Confirmed says that the platform was read completely at least once.
	Confirmed bool
	// ConfirmedAt is the reading of the clock before the last complete read began.
	ConfirmedAt clock.Time
	// Failures counts the polls that failed since the last complete read.
	Failures int
}

// Age returns the time since the last complete read began; ok is false when
// there was none.
func (s Status) Age(now clock.Time) (age time.Duration, ok bool) {
	return now.Sub(s.ConfirmedAt), s.Confirmed
}
