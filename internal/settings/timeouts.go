package settings

import "time"

// Timeouts bounds waiting on connections and on shutdown.
type Timeouts struct {
	// ReadHeader bounds the time to read a request's header. Default 5s.
	ReadHeader time.Duration `toml:"read_header"`
	// Idle closes a connection without requests. Default 60s.
	Idle time.Duration `toml:"idle"`
	// DrainGrace is the time between reporting not ready and refusing requests. Default 2s.
	DrainGrace time.Duration `toml:"drain_grace"`
	// Drain bounds the time to finish requests in flight and hand records over at shutdown.
	// Default 30s.
	Drain time.Duration `toml:"drain"`
}
