package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WritePlatform prints the phases as a table.
func WritePlatform(out io.Writer, phases []PlatformPhase) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "phase\tseconds\treads/s\twrites/s\tpeak reads\tpeak writes\tpeak offered\trefused\tsettled s")
	for _, p := range phases {
		fmt.Fprintf(w, "%s\t%.0f\t%.1f\t%.2f\t%d\t%d\t%d\t%d\t%.1f\n", p.Name, p.Seconds, p.Reads, p.Writes,
			p.PeakReads, p.PeakWrites, p.PeakOffered, p.Refused, p.SettledSeconds)
	}
	return w.Flush()
}
