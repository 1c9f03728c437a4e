package freshness

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Evidence provides the times from which freshness is derived. *membership.Table implements it.
type Evidence interface {
	// CoveredAt returns the latest local time at which the host is known to have been alive from a
	// heartbeat that was merged together with all state that its sender piggybacked on it. For the
	// local host it is now, once its own heartbeats count.
	CoveredAt(host id.HostID, now clock.Time) (clock.Time, bool)
	// PlatformReadAt returns the local time at which the newest confirmed read of the platform,
	// local or relayed, is known to have begun.
	PlatformReadAt() (clock.Time, bool)
}
