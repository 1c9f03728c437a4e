package entry

import (
	"testing"
	"time"
)

// TestEarlierOf guards against a request that counts as older than the pause in which it came, and is refused with time left.
func TestEarlierOf(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct{ received, pause, want time.Duration }{
		"no pause":               {100 * time.Millisecond, 0, 100 * time.Millisecond},
		"received in the pause":  {time.Second, 4 * time.Second, 4 * time.Second},
		"received before it":     {5 * time.Second, 4 * time.Second, 5 * time.Second},
		"read right after it":    {0, 4 * time.Second, 4 * time.Second},
		"received as it began":   {4 * time.Second, 4 * time.Second, 4 * time.Second},
		"no pause and just read": {0, 0, 0},
	} {
		if got := now.Sub(earlierOf(now.Add(-c.received), now, c.pause)); got != c.want {
			t.Errorf("%s: the age is %v instead of %v", name, got, c.want)
		}
	}
}
