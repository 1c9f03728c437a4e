package roster

import (
	"net"
	"strconv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Record is what a daemon publishes about its host.
type Record struct {
	// Host is the address at which the host's gate receives attempts.
	Host    id.HostID         `json:"host"`
	Domain  id.FailureDomain  `json:"domain"`
	Service id.ServiceName    `json:"service"`
	State   State             `json:"state"`
	Slots   int               `json:"slots"`
	Target  TargetIncarnation `json:"target"`
	// Departed lists the targets of the host whose leaving was acknowledged.
	Departed Departures `json:"departed,omitempty"`
	// Suspects is the host's evidence about requests that crash targets, as encoded by package crashes.
	Suspects string `json:"suspects,omitempty"`
}

// TargetIncarnation identifies one start of a target.
type TargetIncarnation struct {
	ID string `json:"id"`
	// StartedMS is the start time in Unix milliseconds, which orders the incarnations of a host's target.
	StartedMS int64 `json:"born"`
}

// Valid reports whether a record names a reachable address, a service and a known state, and its numbers are possible.
// Another writer may have left a record that is not valid; it names no host to use.
func (r Record) Valid(now time.Time) bool {
	return ValidAddress(string(r.Host)) && r.Service != "" && r.State.known() && ValidSlots(r.Slots) && r.Target.Valid(now)
}

// maxSlots is far above the concurrency of any one target.
const maxSlots = 1 << 16

// ValidSlots reports whether a number of slots is possible.
func ValidSlots(slots int) bool {
	return slots >= 0 && slots <= maxSlots
}

// ValidAddress reports whether an address has the form "host:port" with a port that can be connected to.
func ValidAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// maxClockAhead is how far the clock of a target may be ahead of this host's. A start time that lies further ahead is
// wrong, and would make every announcement of the target's real incarnations look outdated.
const maxClockAhead = 24 * time.Hour

// Valid reports whether the start time is possible.
func (t TargetIncarnation) Valid(now time.Time) bool {
	return t.StartedMS >= 0 && t.StartedMS <= now.Add(maxClockAhead).UnixMilli()
}
