package settings

import "time"

// Peers says how the daemon finds other daemons.
type Peers struct {
	// Seeds are peer addresses to start from while the platform cannot be read. Default none.
	Seeds []string `toml:"seeds"`
	// Timeout bounds one control message. Default 1s.
	Timeout time.Duration `toml:"timeout"`
	// GossipInterval is the time between two exchanges with a peer, at every fleet size. Default 1s.
	GossipInterval time.Duration `toml:"gossip_interval"`
}
