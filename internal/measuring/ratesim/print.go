package ratesim

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Report is the outcome of an experiment.
type Report struct {
	Rates  []Result      `json:"rates,omitempty"`
	Queues []QueueResult `json:"queues,omitempty"`
}

// WriteTable writes the report as a text table.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	if len(r.Rates) > 0 {
		fmt.Fprintln(t, "scenario\tpolicy\tseed\twithin\twrongful %\tworst %\tshort %\tmsg/s\tB/s\twaited %\tp99 wait ms")
	}
	for _, x := range r.Rates {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.3f\t%.2f\t%.3f\t%.1f\t%.0f\t%.1f\t%.2f\n", x.Scenario, x.Policy, x.Seed,
			x.Within, x.WrongfulPercent, x.WorstPercent, x.ShortPercent,
			x.MessagesPerSecond, x.BytesPerSecond, x.WaitedPercent, x.P99WaitMs)
	}
	if len(r.Queues) > 0 {
		fmt.Fprintln(t, "discipline\tseed\tworst share %\tworst p99 ms\tgreedy share %\tgreedy p99 ms\tshed")
	}
	for _, x := range r.Queues {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\n", x.Discipline, x.Seed,
			x.WorstSharePercent, x.WorstP99Ms, x.GreedySharePercent, x.GreedyP99Ms, x.Shed)
	}
	return t.Flush()
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
