package quarantine

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// Expiry is the time for which a crash speaks against a request, and for which a quarantine lasts.
	Expiry = 10 * time.Minute
	// forgetAfter is the time after which a crash is forgotten. It is longer than a record can
	// travel, so that an expired crash is not learned again as a new one.
	forgetAfter = 25 * time.Minute
	// recentLimit bounds the remembered completions of fingerprints that are no suspects.
	recentLimit = 4096
	// clearSpread is the time over which the daemons spread their clearances of one crash. Most of
	// them hear another one's first and publish nothing.
	clearSpread = 300 * time.Millisecond
)

// Config holds the fixed facts of a Quarantine.
type Config struct {
	Host        id.HostID
	Incarnation id.Incarnation
}
