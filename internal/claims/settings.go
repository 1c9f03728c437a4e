package claims

import (
	"errors"
	"time"
)

// Default limits of a daemon's claims.
const (
	DefaultBatchSize        = 200
	DefaultCommitInterval   = 2 * time.Second
	DefaultCommitBurst      = 2
	DefaultCommitTimeout    = time.Second
	DefaultMaxWait          = 3 * time.Second
	DefaultMaxQueue         = 2000
	DefaultMaxRows          = 50_000
	DefaultMaxResponseBytes = 8 << 10
	DefaultMaxPendingBytes  = 4 << 20
	DefaultWindow           = time.Hour
)

// ErrSettings reports a limit that is not positive.
var ErrSettings = errors.New("claim settings must be positive")

// Settings are the limits of one daemon's claims.
type Settings struct {
	// BatchSize is the largest number of rows in one commit.
	BatchSize int
	// CommitInterval is the average time between commits. With 460 daemons, 2 s keeps the
	// fleet at 230 commits per second.
	CommitInterval time.Duration
	// CommitBurst is the number of commits that may follow each other after idle time.
	CommitBurst int
	// CommitTimeout bounds one commit or read.
	CommitTimeout time.Duration
	// MaxWait is the time for which a send waits for its claim, in addition to one commit and one read.
	MaxWait time.Duration
	// MaxQueue is the number of claims that may wait for a commit.
	MaxQueue int
	// MaxRows is the number of rows that the daemon tracks. MaxRows / Window bounds the
	// sustained rate of new keys.
	MaxRows int
	// MaxResponseBytes is the size of the largest response that a row keeps.
	MaxResponseBytes int
	// MaxPendingBytes bounds the total size of the responses that are not yet written.
	MaxPendingBytes int
	// Window is the time after the last write for which a row is kept.
	Window time.Duration
}

// DefaultSettings returns the default limits.
func DefaultSettings() Settings {
	return Settings{
		BatchSize: DefaultBatchSize, CommitInterval: DefaultCommitInterval, CommitBurst: DefaultCommitBurst,
		CommitTimeout: DefaultCommitTimeout, MaxWait: DefaultMaxWait, MaxQueue: DefaultMaxQueue,
		MaxRows: DefaultMaxRows, MaxResponseBytes: DefaultMaxResponseBytes,
		MaxPendingBytes: DefaultMaxPendingBytes, Window: DefaultWindow,
	}
}

// Validate returns ErrSettings when a limit is out of range.
func (s Settings) Validate() error {
	if s.BatchSize <= 0 || s.CommitInterval <= 0 || s.CommitBurst <= 0 || s.CommitTimeout <= 0 ||
		s.MaxWait <= 0 || s.MaxQueue <= 0 || s.MaxRows <= 0 || s.Window <= 0 {
		return ErrSettings
	}
	return nil
}
