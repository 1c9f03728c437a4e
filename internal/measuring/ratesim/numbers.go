package ratesim

import (
	"slices"
	"time"
)

// percent returns part of whole in percent; zero of nothing.
func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// quantile returns the q-quantile of the values and sorts them.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// milliseconds converts a duration.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
