package membership

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// DefaultPeriod is the interval at which a daemon starts exchanges.
	DefaultPeriod = time.Second
	// DefaultSuspectPeriods is the number of periods without a heartbeat after which a host is suspected.
	DefaultSuspectPeriods = 10
	// DefaultExpireAfter is the time without a heartbeat after which a host's record is removed.
	DefaultExpireAfter = 12 * time.Minute
	// DefaultJoinWindow is the time after the start in which a daemon may raise its incarnation
	// above that of a record left by an earlier process of its host.
	DefaultJoinWindow = 30 * time.Second
)

// Config configures a Table. Zero durations and counts take the defaults.
type Config struct {
	Self          id.HostID
	FailureDomain id.FailureDomain
	Addresses     Addresses
	// Incarnation orders the processes of one host, see NewIncarnation.
	Incarnation    id.Incarnation
	Period         time.Duration
	SuspectPeriods int
	ExpireAfter    time.Duration
	JoinWindow     time.Duration
	// Seed makes the choice of peers reproducible.
	Seed uint64
	// Riders are piggybacked on every exchange.
	Riders []Rider
}

// NewIncarnation returns an incarnation for a process that started at a wall-clock time. The wall
// clock only orders the processes of one host; an incarnation that is too low because the clock was
// set back is raised within JoinWindow. The random bits distinguish two processes that started at
// the same reading.
func NewIncarnation(started time.Time, random uint16) id.Incarnation {
	return id.Incarnation(uint64(started.UnixMilli())<<16 | uint64(random))
}

// withDefaults returns c with its zero durations and counts replaced by the defaults.
func (c Config) withDefaults() Config {
	if c.Period <= 0 {
		c.Period = DefaultPeriod
	}
	if c.SuspectPeriods <= 0 {
		c.SuspectPeriods = DefaultSuspectPeriods
	}
	if c.ExpireAfter <= 0 {
		c.ExpireAfter = DefaultExpireAfter
	}
	if c.JoinWindow <= 0 {
		c.JoinWindow = DefaultJoinWindow
	}
	return c
}

// suspectAfter returns the time without a heartbeat after which a host is suspected.
func (c Config) suspectAfter() time.Duration {
	return time.Duration(c.SuspectPeriods) * c.Period
}
