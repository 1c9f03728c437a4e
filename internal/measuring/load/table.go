package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable prints a summary and, when the targets' counts were read, a verdict.
func WriteTable(w io.Writer, s Summary, v *Verdict) error {
	fmt.Fprintf(w, "sent %d in %.1f s (%d arrivals dropped by the sender's bound)\n", s.Sent, s.Seconds, s.Overruns)
	for _, outcome := range s.Outcomes {
		fmt.Fprintf(w, "  %-16s %d\n", outcome.Label, outcome.N)
	}
	for _, code := range s.Codes {
		fmt.Fprintf(w, "    code %-22s %d\n", code.Label, code.N)
	}
	fmt.Fprintf(w, "latency of served requests: p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, max %.2f ms\n",
		s.Latency.P50, s.Latency.P99, s.Latency.P999, s.Latency.Max)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "customer\tsent\tin rate\tserved share\trefused in rate\tp50 ms\tp99 ms\t")
	for _, c := range s.Customers {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.3f\t%d\t%.2f\t%.2f\t\n",
			c.Customer, c.Sent, c.Conforming, c.Share(), c.WrongfulRefusals, c.Latency.P50, c.Latency.P99)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if v == nil {
		_, err := fmt.Fprintln(w, "no target control given: duplicates and losses were not checked")
		return err
	}
	_, err := fmt.Fprintf(w, "at the targets: %d duplicates, %d losses, %d untrue refusals, %d mismatched answers\n",
		v.Duplicates, v.Losses, v.UntrueRefusals, v.Mismatched)
	return err
}
