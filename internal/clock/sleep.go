package clock

import (
	"context"
	"time"
)

// Sleep waits for d and returns false if ctx is done first. If d is zero or less, it does not wait and reports
// whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
