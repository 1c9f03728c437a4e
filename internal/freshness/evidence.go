package freshness

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Heard tells how recently hosts were heard. *membership.Table implements it.
type Heard interface {
	// CoveredAt returns the latest local time of a heartbeat that was accepted together with
	// everything its sender knew; the own host is covered now.
	CoveredAt(host id.HostID, now clock.Time) (clock.Time, bool)
	// PlatformReadAt returns the local time at which the newest confirmed read of the platform,
	// own or relayed, is known to have begun.
	PlatformReadAt() (clock.Time, bool)
}
