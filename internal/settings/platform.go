package settings

import "time"

// Platform configures the access to the platform's table service and object store.
type Platform struct {
	// Address is the base URL of the platform. Required.
	Address string `toml:"address"`
	// Timeout bounds one call. Default 2s.
	Timeout time.Duration `toml:"timeout"`
	// PollInterval is the time between reads of the catalogue's changes. Default 2s.
	PollInterval time.Duration `toml:"poll_interval"`
	// ClaimCommitsPerSecond bounds the commits of claims of caller-chosen keys. Default 0.4.
	ClaimCommitsPerSecond float64 `toml:"claim_commits_per_second"`
}
