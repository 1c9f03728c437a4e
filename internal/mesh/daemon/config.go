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

// Config holds the settings and dependencies of a daemon.
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
	// FirstStart is set if the whole system starts for the first time.
	FirstStart   bool
	Bounds       func() Bounds
	Store        platform.Feed
	Keys         statesync.Keys
	DecodePolicy func([]byte) (policy.Document, error)
	// RegionOf returns the region of a failure domain, empty if it is not known. Nil means that none is known.
	RegionOf func(id.FailureDomain) string
	Seeds    func() []id.HostID
	// TargetHandler returns the handler of the target's announcements, which it passes to the Announcer.
	TargetHandler func(Announcer) http.Handler
	// ProbeHandler returns the handler of the readiness probes of callers.
	ProbeHandler func(ready func() bool) http.Handler
	// MemoryBytes and MaxFiles are the memory and the descriptors of the host; zero selects defaults.
	MemoryBytes int64
	MaxFiles    int
	// SignalDelay returns how long ago a stop signal may have been sent that is noticed now. If it is nil, the daemon measures that.
	SignalDelay func() time.Duration
	Loggers     *logging.Loggers
}

// Announcer applies announcements of the host's target. When Announce returns nil, the announcement or a later one is
// in force.
type Announcer interface {
	Announce(gate.Announcement) error
}

// Bounds are limits set by the operator of the platform. They may change while the daemon runs.
type Bounds struct {
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// Policy is the time within which a new policy must be in force on all hosts.
	Policy time.Duration
	// Evacuation is the time within which no attempt may reach the targets of an evacuated failure domain; zero if it is not
	// bounded.
	Evacuation time.Duration
	// RepeatRatio and RepeatSlack are the budget for repeats of one service in the whole fleet: the fraction of its
	// requests that may be repeated, and the number of additional repeats, within each RepeatWindow.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow time.Duration
}

// stateBound returns the time within which a change of the operator's rows must be in force. The policy and the evacuated failure
// domains are read by the same calls, so that the shorter bound counts.
func (b Bounds) stateBound() time.Duration {
	if b.Evacuation > 0 {
		return min(b.Policy, b.Evacuation)
	}
	return b.Policy
}
