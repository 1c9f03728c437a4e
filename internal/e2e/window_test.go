package e2e_test

import (
	"fmt"
	"sort"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
)

// span is the time between the scheduled send of a request and the end of its
// answer. The admission lies inside.
type span struct {
	from, to time.Duration
}

// worstExcess returns the largest number of served requests above
// burst + rate x t over all windows of length t. A request counts in a window
// only if its whole span lies inside, so admissions are never overcounted.
func worstExcess(history load.History, rate, burst float64) (float64, string) {
	var spans []span
	for _, record := range history.Records {
		if record.Outcome == load.Served {
			spans = append(spans, span{record.Due, record.Due + record.Latency})
		}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].to < spans[j].to })
	worst, where := -burst, ""
	for _, start := range spans {
		count := 0.0
		for _, s := range spans {
			if s.from < start.from {
				continue
			}
			count++
			excess := count - burst - rate*(s.to-start.from).Seconds()
			if excess > worst {
				worst = excess
				where = fmt.Sprintf("%.0f served between %v and %v", count, start.from, s.to)
			}
		}
	}
	return worst, where
}

// window is a bound on the time of a condition, with what was measured.
type window struct {
	longest time.Duration
}

// note keeps the longest time.
func (w *window) note(d time.Duration) {
	w.longest = max(w.longest, d)
}
