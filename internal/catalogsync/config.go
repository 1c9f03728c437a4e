package catalogsync

import (
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// Defaults of Config.
const (
	// DefaultPollInterval is a third of the 7 s within which a change must take
	// effect everywhere, rounded down to leave time for one retry.
	DefaultPollInterval = 2 * time.Second
	// DefaultMaxBackoff is below the 10 s after which keys count as stale.
	DefaultMaxBackoff = 8 * time.Second
	// DefaultStartSpread spreads the first reads of 460 daemons that start at
	// once: seven reads each are about 800 reads a second.
	DefaultStartSpread = 4 * time.Second
	// DefaultCallTimeout bounds the read of one page of changes, or all platform
	// calls that load or store one snapshot.
	DefaultCallTimeout = 5 * time.Second
	// DefaultSnapshotSpread spreads the times at which daemons try to store a
	// snapshot, so that usually only the first of them has to.
	DefaultSnapshotSpread = time.Minute
)

// Config configures a Syncer. Durations that are not positive take their defaults.
type Config struct {
	Clock  clock.Clock
	Logger zerolog.Logger
	// OnApply is called with each new snapshot, in revision order; may be nil.
	OnApply func(*catalogue.Snapshot)
	// Seed seeds the jitter; it should differ between processes.
	Seed           uint64
	PollInterval   time.Duration
	MaxBackoff     time.Duration
	StartSpread    time.Duration
	CallTimeout    time.Duration
	SnapshotSpread time.Duration
}

// withDefaults returns the config with unset durations filled in.
func (c Config) withDefaults() Config {
	fill := func(d *time.Duration, fallback time.Duration) {
		if *d <= 0 {
			*d = fallback
		}
	}
	fill(&c.PollInterval, DefaultPollInterval)
	fill(&c.MaxBackoff, DefaultMaxBackoff)
	fill(&c.StartSpread, DefaultStartSpread)
	fill(&c.CallTimeout, DefaultCallTimeout)
	fill(&c.SnapshotSpread, DefaultSnapshotSpread)
	return c
}
