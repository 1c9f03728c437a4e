package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// mebibyte is the unit of memory in tables.
const mebibyte = 1 << 20

// WriteControl prints results as a table.
func WriteControl(out io.Writer, results []ControlResult) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "hosts\ttargets\tkeys\tchanges/s\trestarts/s\tRSS MiB\tlive heap MiB\tCPU ms/s\talloc KiB/s\t"+
		"peers out B/s\tpeers in B/s\tplatform out B/s\tplatform in B/s\tcontrol B/s\treads/s\twrites/s\tready s")
	for _, r := range results {
		size := r.Config.Size
		fmt.Fprintf(w, "%d\t%d\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.1f\n",
			size.Hosts, size.Targets, size.Keys, perSecond(r.Config.ChangeInterval), perSecond(r.Config.RestartInterval),
			float64(r.ResidentBytes)/mebibyte, float64(r.LiveHeapBytes)/mebibyte, r.CPUMsPerSecond, r.AllocatedPerSec/1024,
			r.PeerSentPerSec, r.PeerRecvPerSec, r.PlatformSentSec, r.PlatformRecvSec, r.ControlBytesPerSecond(),
			r.PlatformReadsSec, r.PlatformWritesSec, r.ReadySeconds)
	}
	return w.Flush()
}

// perSecond returns the rate of an interval; zero for none.
func perSecond(interval time.Duration) float64 {
	if interval <= 0 {
		return 0
	}
	return 1 / interval.Seconds()
}
