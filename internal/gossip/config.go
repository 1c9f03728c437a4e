package gossip

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

const (
	// DefaultTimeout is the timeout of one call to a peer.
	DefaultTimeout = 2 * time.Second
	// DefaultPushPeers is the number of peers that a change is pushed to at once.
	DefaultPushPeers = 3
	// relayQueueSize bounds the batches of urgent records that wait to be relayed; the exchanges carry
	// the rest.
	relayQueueSize = 64
	// seedPeriods is the number of periods between two exchanges with a seed while peers are known.
	// It rejoins two halves of a fleet that have removed each other's records.
	seedPeriods = 30
)

// Config configures a Service. Zero durations and counts take the defaults.
type Config struct {
	Membership membership.Config
	// Seeds are control addresses (host:port) that are used while no peer is known, after the start
	// and every seedPeriods.
	Seeds []string
	// Scheme is "https", or "http" in tests.
	Scheme string
	// Client sends the calls; its transport holds the TLS identity and should keep idle connections.
	Client *http.Client
	Clock  clock.Clock
	Log    zerolog.Logger
	// Timeout is the timeout of one call to a peer.
	Timeout time.Duration
	// PushPeers is the number of peers that a change is pushed to at once.
	PushPeers int
	// OnChange is called without holding locks after records changed; it may be nil.
	OnChange func()
}

// withDefaults returns c with the defaults in place of zero fields.
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
