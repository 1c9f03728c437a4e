package settings

import "time"

// Default returns the values of settings that a file omits.
func Default() Settings {
	return Settings{
		Platform: Platform{
			Timeout:               2 * time.Second,
			PollInterval:          2 * time.Second,
			ClaimCommitsPerSecond: 0.4,
		},
		Peers: Peers{
			Timeout:        time.Second,
			GossipInterval: time.Second,
		},
		TLS: TLS{PeerName: "buckthornlatch-peer"},
		Timeouts: Timeouts{
			ReadHeader: 5 * time.Second,
			Idle:       60 * time.Second,
			DrainGrace: 2 * time.Second,
			Drain:      30 * time.Second,
		},
		Limits: Limits{
			MaxHeaderBytes:   32 << 10,
			MaxResponseBytes: 64 << 10,
			RetryFraction:    0.2,
			GCPercent:        40,
			MemoryMB:         184,
			MaxFiles:         4100,
		},
		Tickets: Tickets{
			Window:         time.Hour,
			MaxClaims:      200_000,
			MaxStoredBytes: 16 << 20,
		},
		Log: Log{Level: "info"},
	}
}
