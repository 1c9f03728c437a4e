package ownership

import (
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Acknowledgement reports which epoch and roster a host has learned. From then on
// the host includes at least these in every message that other hosts use as evidence
// of freshness.
type Acknowledgement struct {
	From id.HostID
	// Epoch is the highest epoch of Slot that the host has learned; Slot may be empty.
	Slot  id.HostID
	Epoch id.Epoch
	// Roster is the revision of the roster that the host uses.
	Roster catalogue.Revision
}
