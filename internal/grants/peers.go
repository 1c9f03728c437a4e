package grants

import "buckthornlatch.example/buckthornlatch/internal/id"

// Peers resolves the addresses of the daemons on other hosts.
type Peers interface {
	// BaseURL returns the base URL of a host's control address, for example
	// "https://192.0.2.7:7443", and whether it is known.
	BaseURL(host id.HostID) (string, bool)
}
