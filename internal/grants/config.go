package grants

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
	rpc "buckthornlatch.example/buckthornlatch/rpc/grants"
)

// DefaultCallTimeout is how long a home may take to reply. It leaves half of the
// callers' default waiting time for another home.
const DefaultCallTimeout = ratelimit.DefaultMaxWait / 2

// Config holds what a Service needs.
type Config struct {
	Clock     clock.Clock
	Self      id.HostID
	Placement ratelimit.Placement
	Peers     Peers
	// HTTP sends the calls and authenticates as this daemon.
	HTTP rpc.HTTPClient
	// Distance orders homes, nearest first; nil means that all are equal.
	Distance func(id.HostID) int
	// MaxWait bounds how long a caller waits for a token; zero means
	// ratelimit.DefaultMaxWait.
	MaxWait time.Duration
	// CallTimeout bounds a call to a home; zero means DefaultCallTimeout.
	CallTimeout time.Duration
}
