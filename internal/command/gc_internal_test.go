package command

import (
	"math"
	"runtime/debug"
	"testing"
)

// TestEnvironmentWins guards against a limit of the operator that the daemon replaces by its own.
func TestEnvironmentWins(t *testing.T) {
	const megabyte = 1 << 20
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	for _, c := range []struct {
		name, environment string
		host, want        int64
	}{
		{"none", "", 1000 * megabyte, 600 * megabyte},
		{"a limit", "3GiB", 1000 * megabyte, math.MaxInt64},
		{"off", "off", 1000 * megabyte, math.MaxInt64},
		{"no limit of the host", "", 0, math.MaxInt64},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv("GOMEMLIMIT", c.environment)
			// The runtime has read the environment at the start; this stands for what it set.
			debug.SetMemoryLimit(math.MaxInt64)
			applyMemoryLimit(c.host)
			if got := debug.SetMemoryLimit(-1); got != c.want {
				t.Errorf("limit %d, want %d", got, c.want)
			}
		})
	}
}
