package faultproxy

import "time"

// Faults is the set of faults that are switched on. The zero value forwards everything.
type Faults struct {
	// HoldToServer holds the bytes that clients send, on open and new connections.
	HoldToServer bool
	// HoldToClient holds the bytes that the server sends.
	HoldToClient bool
	// Delay is added before each piece of at most 32 KiB is forwarded.
	Delay time.Duration
	// Refuse closes new connections as soon as they are accepted.
	Refuse bool
}

// holds reports whether a direction is held.
func (f Faults) holds(d direction) bool {
	if d == toServer {
		return f.HoldToServer
	}
	return f.HoldToClient
}
