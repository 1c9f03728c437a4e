package ownership

import "buckthornlatch.example/buckthornlatch/internal/id"

// holding is the right of this process to act for one epoch of one slot.
type holding struct {
	slot  id.HostID
	epoch id.Epoch
	// epochFence keeps out processes with lower epochs.
	epochFence fence
	// stopped is set when the holding was given up; it never ends.
	stopped bool
}
