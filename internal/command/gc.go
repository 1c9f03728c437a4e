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
