package grants

import "buckthornlatch.example/buckthornlatch/internal/id"

// Peers finds the daemons of other hosts.
type Peers interface {
	// BaseURL returns the base URL of a host's control address, for example
	// "https://192.0.2.7:7443", and whether it is known.
	BaseURL(host id.HostID) (string, bool)
}
