package hop

import (
	"crypto/tls"
	"time"
)

// Config bounds the client. Zero fields select the defaults.
type Config struct {
	// TLS returns the client configuration for a new connection; nil connects without TLS.
	TLS func() *tls.Config
	// DialTimeout bounds connecting including the TLS handshake; default 1 s.
	DialTimeout time.Duration
	// Silence is the longest time without any sign of the peer; default 2 s. A gate sends an
	// informational response every KeepAlive while an attempt waits.
	Silence time.Duration
	// IdleTimeout closes unused connections; default 15 s. Peers must keep idle connections for longer.
	IdleTimeout time.Duration
	// IdlePerPeer bounds the unused connections kept per peer; default 64.
	IdlePerPeer int
	// ClockAge is the age at which a peer's clock reading is renewed; default 60 s. Readings lose
	// accuracy by clock drift.
	ClockAge time.Duration
}

// KeepAlive is the period at which a gate shows that a waiting attempt is alive.
const KeepAlive = 500 * time.Millisecond

// withDefaults fills in zero fields.
func (c Config) withDefaults() Config {
	setDuration(&c.DialTimeout, time.Second)
	setDuration(&c.Silence, 4*KeepAlive)
	setDuration(&c.IdleTimeout, 15*time.Second)
	setDuration(&c.ClockAge, time.Minute)
	if c.IdlePerPeer == 0 {
		c.IdlePerPeer = 64
	}
	return c
}

// setDuration sets a zero duration.
func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
