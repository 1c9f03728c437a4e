package handover

import "time"

// Default limits of handovers.
const (
	DefaultChunkBytes      = 256 << 10
	DefaultCallTimeout     = time.Second
	DefaultHandoverTimeout = 10 * time.Second
	DefaultMaxSessions     = 8
)

// Settings are the limits of handovers.
type Settings struct {
	// ChunkBytes is the approximate size of the records in one chunk.
	ChunkBytes int
	// CallTimeout bounds each try of a call.
	CallTimeout time.Duration
	// HandoverTimeout bounds one handover at the sender. The receiver may abort a session after twice that time.
	HandoverTimeout time.Duration
	// MaxSessions is the largest number of open sessions at a receiver.
	MaxSessions int
}

// DefaultSettings returns the default limits.
func DefaultSettings() Settings {
	return Settings{
		ChunkBytes: DefaultChunkBytes, CallTimeout: DefaultCallTimeout,
		HandoverTimeout: DefaultHandoverTimeout, MaxSessions: DefaultMaxSessions,
	}
}
