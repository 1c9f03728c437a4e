package daemon

import (
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/dialect"
	"buckthornlatch.example/buckthornlatch/internal/mesh/gate"
	"buckthornlatch.example/buckthornlatch/internal/mesh/logging"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/statesync"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// Config is what a daemon needs.
type Config struct {
	// Host is the address at which other hosts reach this one.
	Host   id.HostID
	Domain id.FailureDomain
	// Service and TargetAddress are those of the target on this host.
	Service       id.ServiceName
	TargetAddress string
	// Callers, Peers, Targets, Probes and Metrics are listen addresses; an empty one is not opened.
	Callers, Peers, Targets, Probes, Metrics string
	Headers                                  dialect.Headers
	Bounds                                   func() Bounds
	Store                                    platform.Feed
	Keys                                     statesync.Keys
	DecodePolicy                             func([]byte) (policy.Document, error)
	Seeds                                    func() []id.HostID
	// TargetHandler serves targets' announcements; it passes them to the announcer.
	TargetHandler func(Announcer) http.Handler
	// ProbeHandler serves the question whether callers should come here.
	ProbeHandler func(ready func() bool) http.Handler
	Lines        *logging.Lines
}

// Announcer takes announcements of the host's target. When it returns without an error, they are in force.
type Announcer interface {
	Announce(gate.Announcement) error
}

// Bounds are figures that the operator of the platform sets. They may change while the daemon runs.
type Bounds struct {
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration
	// RepeatRatio is the share of requests that may be repeated within RepeatWindow, RepeatSlack the number beside
	// it, for one service in the whole fleet.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow time.Duration
}
