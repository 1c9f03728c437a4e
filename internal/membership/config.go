package membership

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// DefaultPeriod is the time between two exchanges that a daemon starts.
	DefaultPeriod = time.Second
	// DefaultSuspectPeriods is the number of periods without a heartbeat after which a host is suspected.
	DefaultSuspectPeriods = 10
	// DefaultForgetAfter is the time without a heartbeat after which a host's record is dropped.
	DefaultForgetAfter = 12 * time.Minute
	// DefaultJoinWindow is the time after the start in which a daemon may raise its incarnation
	// above a record that a former process of its host left behind.
	DefaultJoinWindow = 30 * time.Second
)

// Config holds the fixed facts of a Table. Zero durations and counts take the defaults.
type Config struct {
	Self          id.HostID
	FailureDomain id.FailureDomain
	Addresses     Addresses
	// Incarnation orders the processes of one host, see NewIncarnation.
	Incarnation    id.Incarnation
	Period         time.Duration
	SuspectPeriods int
	ForgetAfter    time.Duration
	JoinWindow     time.Duration
	// Seed makes the choice of peers reproducible.
	Seed uint64
	// Riders travel on every exchange.
	Riders []Rider
}

// NewIncarnation returns an incarnation for a process that started at a wall-clock time. The
// wall clock only orders the processes of one host, and is corrected within JoinWindow when it
// went backwards. The random bits keep two processes apart that started at the same reading.
func NewIncarnation(started time.Time, random uint16) id.Incarnation {
	return id.Incarnation(uint64(started.UnixMilli())<<16 | uint64(random))
}

// withDefaults fills the zero fields.
func (c Config) withDefaults() Config {
	if c.Period <= 0 {
		c.Period = DefaultPeriod
	}
	if c.SuspectPeriods <= 0 {
		c.SuspectPeriods = DefaultSuspectPeriods
	}
	if c.ForgetAfter <= 0 {
		c.ForgetAfter = DefaultForgetAfter
	}
	if c.JoinWindow <= 0 {
		c.JoinWindow = DefaultJoinWindow
	}
	return c
}

// suspectAfter is the silence after which a host is suspected.
func (c Config) suspectAfter() time.Duration {
	return time.Duration(c.SuspectPeriods) * c.Period
}
