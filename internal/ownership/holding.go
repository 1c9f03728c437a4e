package ownership

import "buckthornlatch.example/buckthornlatch/internal/id"

// holding is the right of this process to act for one epoch of one slot.
type holding struct {
	slot  id.HostID
	epoch id.Epoch
	// epochFence delays this holding until processes with lower epochs can no longer act.
	epochFence fence
	// stopped is set when the process gives up the holding; it is never cleared.
	stopped bool
}
