package load

// Placement says which daemons a customer's callers use.
type Placement string

const (
	// Spread sends each request to a random daemon.
	Spread Placement = "spread"
	// Pinned sends all requests to one daemon.
	Pinned Placement = "pinned"
	// Moving changes the daemon every MovePeriod.
	Moving Placement = "moving"
)
