package gate

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/attempt"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Config is the static part of a gate. Zero durations and limits select the defaults.
type Config struct {
	// Host names the gate's host in target ids.
	Host id.HostID
	// Incarnation identifies this process in gate clocks.
	Incarnation id.Incarnation
	// MaxTargets bounds the announced targets; default 64.
	MaxTargets int
	// DialTimeout bounds connecting to a target; default 1 s.
	DialTimeout time.Duration
	// IdleTimeout closes unused connections to targets; default 4 s. It should be shorter than the targets' own
	// idle timeout: if a target closes a connection just as it is reused, the attempt ends as unknown.
	IdleTimeout time.Duration
	// ProgressTimeout applies to services that set none; default 30 s.
	ProgressTimeout time.Duration
	// EntryWriteTimeout bounds the time that an entry may take to accept response bytes; default 30 s.
	EntryWriteTimeout time.Duration
	// Attempts bounds the attempt table.
	Attempts attempt.Limits
}

// withDefaults fills in zero fields.
func (c Config) withDefaults() Config {
	setDuration(&c.DialTimeout, time.Second)
	setDuration(&c.IdleTimeout, 4*time.Second)
	setDuration(&c.ProgressTimeout, 30*time.Second)
	setDuration(&c.EntryWriteTimeout, 30*time.Second)
	if c.MaxTargets == 0 {
		c.MaxTargets = 64
	}
	return c
}

// setDuration sets *d to value if it is zero.
func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
