package command

import (
	"os"
	"runtime/debug"
)

// applyGCPercent sets the heap growth that starts a garbage collection, unless
// the environment states it.
func applyGCPercent(percent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
}

const (
	// meshHeapShare is the part of the host's memory limit at which garbage collection works harder.
	meshHeapShare = 0.6
)

// applyMeshMemory keeps the heap within the memory limit of the host.
func applyMeshMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(meshHeapShare * float64(limit)))
	}
}
