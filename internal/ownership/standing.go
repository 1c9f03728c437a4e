package ownership

import (
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Standing is what a process that gives up a slot's duties passes on with them.
type Standing struct {
	Slot  id.HostID
	Epoch id.Epoch
	// EpochSettled says that no process with a lower epoch can perform the slot's duties.
	EpochSettled bool
	// SettledRoster is the revision of which no older roster can be in use; zero when there is none.
	SettledRoster catalogue.Revision
}
