package target

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Config describes one emulated target.
type Config struct {
	Name    string
	Service id.ServiceName
	// Listen is the work address; port 0 picks a free port.
	Listen string
	// Announce is the gate's local address, an IP number and port.
	Announce string
	// Slots is the number of requests that run at once; others wait in the target.
	Slots int
	// ServiceTime is the mean time that one request takes.
	ServiceTime time.Duration
	// ColdStart is the time after the start in which work takes SlowFactor times as long.
	ColdStart time.Duration
	// CrashPath is a path prefix whose requests crash the target; empty for none.
	CrashPath string
	// Seed makes service times repeatable.
	Seed uint64
}

const (
	// SlowFactor is the ratio of a slow target's service time to its normal one.
	SlowFactor = 10
	// FlapPeriod is the time between the changes of a flapping target.
	FlapPeriod = 3 * time.Second
	// CrashRestart is the time until a crashed target comes back.
	CrashRestart = 3 * time.Second
)
