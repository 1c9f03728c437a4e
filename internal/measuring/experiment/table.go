package experiment

import (
	"fmt"
	"io"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
)

// WriteTable prints a result as text.
func WriteTable(w io.Writer, r Result) error {
	fmt.Fprintf(w, "experiment %s, seed %d\n", r.Name, r.Seed)
	if err := load.WriteTable(w, r.Summary, &r.Verdict); err != nil {
		return err
	}
	for _, d := range r.Detections {
		fmt.Fprintf(w, "fault %-28s %-9s suspected after %s, ejected after %s\n",
			d.Target, d.Mode, after(d.SuspectedAfter), after(d.EjectedAfter))
	}
	fmt.Fprintf(w, "targets crashed by requests: %d\n", r.CrashedTargets)
	fmt.Fprintf(w, "false ejections: %d\n", len(r.FalseEjections))
	for _, f := range r.FalseEjections {
		fmt.Fprintf(w, "  %s after %s\n", f.Target, after(f.At))
	}
	fmt.Fprint(w, "by second (served/refused/other): ")
	for _, s := range r.Series {
		fmt.Fprintf(w, " %d/%d/%d", s.Served, s.Refused, s.Other)
	}
	_, err := fmt.Fprintln(w)
	return err
}

// after prints a time since a fault.
func after(d time.Duration) string {
	if d == never {
		return "never"
	}
	return d.Round(time.Millisecond).String()
}
