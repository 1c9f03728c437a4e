package command

import (
	"os"
	"runtime/debug"
)

// applyGCPercent sets the heap growth that starts a garbage collection, unless
// GOGC is set in the environment.
func applyGCPercent(percent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
}

const (
	// memoryLimitFraction is the share of the host's memory limit at which the garbage collector runs more often.
	memoryLimitFraction = 0.6
)

// applyMemoryLimit derives the Go runtime's soft memory limit from the host's
// limit in bytes, unless GOMEMLIMIT is set in the environment; 0 sets none.
func applyMemoryLimit(limit int64) {
	if limit > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(limit)))
	}
}
