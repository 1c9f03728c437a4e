package settings

import "time"

// Tickets configures idempotency tickets and claims.
type Tickets struct {
	// Window is the time after its issue in which a ticket may be sent again. Default 1h.
	Window time.Duration `toml:"window"`
	// MaxClaims bounds the claims in memory. Default 200000.
	MaxClaims int `toml:"max_claims"`
	// MaxStoredBytes bounds all recorded responses in memory, in bytes. Default 16777216.
	MaxStoredBytes int64 `toml:"max_stored_bytes"`
}
