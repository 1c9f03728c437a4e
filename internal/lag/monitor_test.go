package lag_test

import (
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/lag"
)

// after returns the delay at some time after a series of ticks with the given lags.
func after(rest time.Duration, lags ...time.Duration) time.Duration {
	now := &clock.Fake{}
	m := lag.New(now)
	m.Tick()
	for _, late := range lags {
		now.Advance(lag.Period + late)
		m.Tick()
	}
	now.Advance(rest)
	return m.Delay()
}

// TestDelay guards against stop signals that are taken for new although the process noticed them late.
func TestDelay(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name string
		rest time.Duration
		lags []time.Duration
		want time.Duration
	}{
		{"no lag", 0, nil, 0},
		{"ticks in time", lag.Period / 2, []time.Duration{0, 10 * time.Millisecond, 0}, 0},
		{"a tick that is overdue", lag.Period + 3*second, nil, 3 * second},
		{"a late tick that came before the signal was noticed", 0, []time.Duration{3 * second}, 3 * second},
		{"a late tick and one in time", 0, []time.Duration{3 * second, 0}, 0},
		{"late ticks in a row", 0, []time.Duration{second, second, second}, 3 * second},
		{"more late ticks than a signal takes steps", 0, []time.Duration{9 * second, second, second, second, second}, 4 * second},
		{"as many late ticks and one that is overdue", lag.Period + second, []time.Duration{9 * second, second, second, second}, 4 * second},
		{"late ticks and one that is not due yet", lag.Period / 2, []time.Duration{second, second}, 2 * second},
	} {
		if got := after(c.rest, c.lags...); got != c.want {
			t.Errorf("%s: the delay is %v instead of %v", c.name, got, c.want)
		}
	}
}
