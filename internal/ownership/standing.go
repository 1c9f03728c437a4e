package ownership

import (
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Standing is the state of a holding that a process gave up, for the process that takes over the slot's duties.
type Standing struct {
	Slot  id.HostID
	Epoch id.Epoch
	// EpochSettled says that no process with a lower epoch can perform the slot's duties.
	EpochSettled bool
	// SettledRoster is the revision of the newest roster if no older one can be in use, and zero otherwise.
	SettledRoster catalogue.Revision
}
