package settings

// Limits bounds what one daemon accepts.
type Limits struct {
	// MaxHeaderBytes bounds a request's header in bytes. Default 32768.
	MaxHeaderBytes int `toml:"max_header_bytes"`
	// MaxResponseBytes bounds a recorded response to a non-idempotent request in bytes. Default
	// 65536.
	MaxResponseBytes int `toml:"max_answer_bytes"`
	// RetryFraction bounds retries as a fraction of requests, between 0 and 1. Default 0.2.
	RetryFraction float64 `toml:"retry_fraction"`
	// GCPercent is the heap growth in percent that starts a garbage collection. Smaller values
	// trade CPU time for memory. The environment variable GOGC overrides it. Default 40.
	GCPercent int `toml:"gc_percent"`
	// MemoryMB is the memory of the host in MiB, from which the bound on what connections hold is derived. Default 184.
	MemoryMB int `toml:"memory_mb"`
	// MaxFiles is the number of descriptors of the process, from which the bounds on connections are derived. Default 4100.
	MaxFiles int `toml:"max_files"`
}
