package ledger

import (
	"errors"
	"time"
)

// Default limits of a ledger.
const (
	DefaultWindow           = time.Hour
	DefaultMaxRun           = 2 * time.Minute
	DefaultMaxClaims        = 200_000
	DefaultMaxResponseBytes = 64 << 10
	DefaultMaxStoredBytes   = 16 << 20
)

// clockDriftDivisor extends the retention by 1/20 (5%) of the window, because clocks run at
// different rates.
const clockDriftDivisor = 20

// ErrSettings reports limits that are out of range.
var ErrSettings = errors.New("ledger settings must be positive and the per-customer limit at most the total")

// Settings are the limits of one ledger.
type Settings struct {
	// Window is the time after its issue during which a ticket may start to run.
	Window time.Duration
	// MaxRun is the time after which an unfinished claim is answered Unknown instead of InProgress.
	MaxRun time.Duration
	// MaxClaims is the maximum number of claims in total.
	MaxClaims int
	// MaxClaimsPerCustomer is the maximum number of claims of one customer.
	MaxClaimsPerCustomer int
	// MaxResponseBytes is the maximum size of one stored response, header included.
	MaxResponseBytes int
	// MaxStoredBytes is the maximum size of all stored responses together.
	MaxStoredBytes int
}

// DefaultSettings returns the default limits.
func DefaultSettings() Settings {
	return Settings{
		Window:               DefaultWindow,
		MaxRun:               DefaultMaxRun,
		MaxClaims:            DefaultMaxClaims,
		MaxClaimsPerCustomer: DefaultMaxClaims / 2,
		MaxResponseBytes:     DefaultMaxResponseBytes,
		MaxStoredBytes:       DefaultMaxStoredBytes,
	}
}

// Validate returns ErrSettings when a limit is out of range.
func (s Settings) Validate() error {
	if s.Window <= 0 || s.MaxRun <= 0 || s.MaxClaims <= 0 || s.MaxResponseBytes < 0 || s.MaxStoredBytes < 0 {
		return ErrSettings
	}
	if s.MaxClaimsPerCustomer <= 0 || s.MaxClaimsPerCustomer > s.MaxClaims {
		return ErrSettings
	}
	return nil
}

// retention is the time after a ticket's issue for which its claim is kept. It is
// longer than Window, so that a caller with a slow clock still gets the recorded response.
func (s Settings) retention() time.Duration {
	return s.Window + s.Window/clockDriftDivisor
}
