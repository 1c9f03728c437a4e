package gossip

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

const (
	// DefaultTimeout bounds one call to a peer.
	DefaultTimeout = 2 * time.Second
	// DefaultPushPeers is the number of peers that get a change at once.
	DefaultPushPeers = 3
	// relayQueue bounds the urgent records that wait to be passed on; the exchanges carry the rest.
	relayQueue = 64
	// seedPeriods is the number of periods between two exchanges with a seed while peers are known.
	// It joins two halves of a fleet that have forgotten each other.
	seedPeriods = 30
)

// Config holds what a Service needs. Zero durations and counts take the defaults.
type Config struct {
	Membership membership.Config
	// Seeds are control addresses (host:port) that are tried while no peer is known.
	Seeds []string
	// Scheme is "https", or "http" in tests.
	Scheme string
	// Client sends the calls; its transport holds the TLS identity and should keep idle connections.
	Client *http.Client
	Clock  clock.Clock
	Log    zerolog.Logger
	// Timeout bounds one call to a peer.
	Timeout time.Duration
	// PushPeers is the number of peers that get a change at once.
	PushPeers int
	// OnChange is called without locks after records changed; nil for none.
	OnChange func()
}

// withDefaults fills the zero fields.
func (c Config) withDefaults() Config {
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.PushPeers <= 0 {
		c.PushPeers = DefaultPushPeers
	}
	if c.Scheme == "" {
		c.Scheme = "https"
	}
	if c.Client == nil {
		c.Client = http.DefaultClient
	}
	if c.Membership.Period <= 0 {
		c.Membership.Period = membership.DefaultPeriod
	}
	return c
}
