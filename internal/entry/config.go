package entry

import "time"

// Config holds the settings of an entry. Zero fields select the defaults.
type Config struct {
	// RetryFraction is the fraction of requests that may be retried after an attempt that may have loaded a
	// target or a queue; default 0.2.
	RetryFraction float64
	// MaxAttempts bounds the attempts of one request; default 4.
	MaxAttempts int
	// DefaultTimeout is the request timeout of services that set none; default 30 s.
	DefaultTimeout time.Duration
	// ResolveTimeout bounds the time for resolving the outcome of a failed attempt; default 5 s. It may exceed
	// the caller's deadline, because the outcome is needed for the ledger.
	ResolveTimeout time.Duration
	// CallerSilence is the longest time that a caller may take to send or accept bytes; default 30 s.
	CallerSilence time.Duration
	// MaxTickets bounds the number of tickets that one request can get; default 100.
	MaxTickets int
}

// withDefaults fills in zero fields.
func (c Config) withDefaults() Config {
	setDuration(&c.DefaultTimeout, 30*time.Second)
	setDuration(&c.ResolveTimeout, 5*time.Second)
	setDuration(&c.CallerSilence, 30*time.Second)
	if c.RetryFraction == 0 {
		c.RetryFraction = 0.2
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = 4
	}
	if c.MaxTickets == 0 {
		c.MaxTickets = 100
	}
	return c
}

// setDuration sets a zero duration to value.
func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
