package settings

import "time"

// Peers configures the control messages between daemons.
type Peers struct {
	// Seeds are peer addresses to start from while the platform cannot be read. Default none.
	Seeds []string `toml:"seeds"`
	// Timeout bounds one control message. Default 1s.
	Timeout time.Duration `toml:"timeout"`
	// GossipInterval is the time between two exchanges with a peer, independent of the fleet's
	// size. Default 1s.
	GossipInterval time.Duration `toml:"gossip_interval"`
}
