package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// DefaultMaxWait is how long a caller waits for a token by default.
const DefaultMaxWait = 100 * time.Millisecond

// EntryConfig configures an entry.
type EntryConfig struct {
	Self      id.HostID
	Placement Placement
	// Local is nil when the daemon is no home.
	Local LocalHome
	// Distance orders homes; the nearest is preferred. Nil means that all are equal.
	Distance func(id.HostID) int
	// MaxWait bounds how long a caller waits for a token; zero means DefaultMaxWait.
	MaxWait time.Duration
}
