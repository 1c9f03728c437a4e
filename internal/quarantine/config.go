package quarantine

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// Expiry is the time for which a crash counts against a request, and for which a quarantine lasts.
	Expiry = 10 * time.Minute
	// crashRetention is the time after which a crash is removed. It is longer than a membership record
	// can circulate, so that an expired crash is not added again as a new one.
	crashRetention = 25 * time.Minute
	// maxRecentCompletions bounds the number of recent completions that are kept.
	maxRecentCompletions = 4096
	// maxClearanceDelay is the time over which the daemons spread the publication of their clearances of
	// one crash. Most of them receive another daemon's clearance first and publish none.
	maxClearanceDelay = 300 * time.Millisecond
)

// Config identifies the local daemon.
type Config struct {
	Host        id.HostID
	Incarnation id.Incarnation
}
