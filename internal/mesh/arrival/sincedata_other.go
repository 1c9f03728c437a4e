//go:build !linux

package arrival

import "time"

// sinceData returns zero where the kernel does not tell.
func sinceData(int) time.Duration { return 0 }
