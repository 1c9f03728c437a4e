package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// DefaultMaxWait is how long a caller waits for a token by default.
const DefaultMaxWait = 100 * time.Millisecond

// EntryConfig describes an entry.
type EntryConfig struct {
	Self      id.HostID
	Placement Placement
	// Local is nil when the daemon performs no duties.
	Local Local
	// Distance orders homes; the nearest are asked first. Nil means that all are equal.
	Distance func(id.HostID) int
	// MaxWait bounds how long a caller waits for a token; zero means DefaultMaxWait.
	MaxWait time.Duration
}
