package membership

import "buckthornlatch.example/buckthornlatch/internal/id"

// HeldEpoch is an epoch of a host slot whose ticket records the publishing host stores.
type HeldEpoch struct {
	Host  id.HostID
	Epoch id.Epoch
	// Active is set when tickets of the epoch may run there. It is not set while the records are
	// being handed over.
	Active bool
}
