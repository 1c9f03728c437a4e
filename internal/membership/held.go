package membership

import "buckthornlatch.example/buckthornlatch/internal/id"

// Held names an epoch of a host slot whose ticket records a host holds.
type Held struct {
	Host  id.HostID
	Epoch id.Epoch
	// Active says that tickets of the epoch may run there; records that are being
	// handed over are not active.
	Active bool
}
