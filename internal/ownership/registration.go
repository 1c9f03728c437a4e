package ownership

import "buckthornlatch.example/buckthornlatch/internal/id"

// Registration is the result of registering a slot's new epoch with the platform.
type Registration struct {
	Epoch id.Epoch
	// Rosters are the rosters that an earlier holder may still use, oldest first; the last one is current.
	Rosters []Roster
}

// first reports whether this is the slot's first epoch under the catalogue's first roster,
// so that no earlier holder of the slot's duties can exist.
func (r Registration) first() bool {
	return r.Epoch == 1 && len(r.Rosters) == 1 && r.Rosters[0].Previous == 0
}
