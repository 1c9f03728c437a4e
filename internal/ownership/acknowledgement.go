package ownership

import (
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Acknowledgement is a host's statement of what it knows. From then on the host
// passes at least this knowledge on with everything by which others confirm
// their freshness.
type Acknowledgement struct {
	From id.HostID
	// Slot and Epoch are the highest epoch of one slot that the host knows; Slot may be empty.
	Slot  id.HostID
	Epoch id.Epoch
	// Roster is the revision of the roster that the host uses.
	Roster catalogue.Revision
}
