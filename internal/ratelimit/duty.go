package ratelimit

import (
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// Duty reports whether a home may act. A home checks it before every grant.
type Duty interface {
	// Confirmed reports whether the slot's duties are confirmed at now. A
	// confirmation counts only after the changes that came with it were assigned.
	Confirmed(now clock.Time) bool
	// Settled reports whether no home can still act on a revision older than the
	// given one: more than half of the roster acknowledged it, the fence of a new
	// duty holder has passed since, and the duty was confirmed after that without
	// a newer revision becoming known.
	Settled(revision catalogue.Revision, now clock.Time) bool
}
