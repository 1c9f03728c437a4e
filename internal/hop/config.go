package hop

import (
	"crypto/tls"
	"time"
)

// Config configures the client. Zero fields select the defaults.
type Config struct {
	// TLS returns the client configuration for a new connection; nil connects without TLS.
	TLS func() *tls.Config
	// DialTimeout bounds connecting, including the TLS handshake; default 1 s.
	DialTimeout time.Duration
	// ProgressTimeout bounds the time without progress on a connection; default 2 s. A gate sends an informational
	// response every KeepAlive until it sends the response header.
	ProgressTimeout time.Duration
	// IdleTimeout closes unused connections; default 15 s. The peers' idle timeout must be longer.
	IdleTimeout time.Duration
	// IdlePerPeer bounds the unused connections kept per peer; default 64.
	IdlePerPeer int
	// MaxClockAge is the age above which a peer's clock is read again; default 60 s. Old readings are inaccurate
	// because of clock drift.
	MaxClockAge time.Duration
}

// KeepAliveInterval is the period at which a gate sends informational responses for an attempt without a response.
const KeepAliveInterval = 500 * time.Millisecond

// withDefaults fills in zero fields.
func (c Config) withDefaults() Config {
	setDuration(&c.DialTimeout, time.Second)
	setDuration(&c.ProgressTimeout, 4*KeepAliveInterval)
	setDuration(&c.IdleTimeout, 15*time.Second)
	setDuration(&c.MaxClockAge, time.Minute)
	if c.IdlePerPeer == 0 {
		c.IdlePerPeer = 64
	}
	return c
}

// setDuration sets *d to value if it is zero.
func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
