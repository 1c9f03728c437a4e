package experiment

import (
	"sort"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
)

// seriesOf counts a history by the second in which requests were due.
func seriesOf(history load.History) []Second {
	bySecond := make(map[int]*Second)
	latencies := make(map[int][]time.Duration)
	for _, record := range history.Records {
		at := int(record.Due / time.Second)
		second, ok := bySecond[at]
		if !ok {
			second = &Second{Second: at}
			bySecond[at] = second
		}
		switch record.Outcome {
		case load.Served:
			second.Served++
			latencies[at] = append(latencies[at], record.Latency)
		case load.RefusedNotRun:
			second.Refused++
		default:
			second.Other++
		}
	}
	series := make([]Second, 0, len(bySecond))
	for at, second := range bySecond {
		second.P99 = quantile(latencies[at], 0.99)
		series = append(series, *second)
	}
	sort.Slice(series, func(i, j int) bool { return series[i].Second < series[j].Second })
	return series
}

// quantile returns a quantile in milliseconds; zero without values.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	at := int(q * float64(len(values)-1))
	return float64(values[at]) / float64(time.Millisecond)
}
