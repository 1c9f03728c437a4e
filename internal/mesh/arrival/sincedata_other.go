//go:build !linux

package arrival

import "time"

// sinceData returns zero where the kernel does not tell.
func sinceData(int) time.Duration { return 0 }

// hasData returns false where the kernel does not tell.
func hasData(int) bool { return false }
