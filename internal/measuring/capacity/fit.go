package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Line is a least-squares line through measured points.
type Line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// R2 is the coefficient of determination; 1 for points on the line.
	R2 float64 `json:"r2"`
}

// Fit returns the least-squares line of y over x. Fewer than two different x give a flat line.
func Fit(x, y []float64) Line {
	n := float64(len(x))
	var sumX, sumY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
	}
	var xx, xy, yy float64
	for i := range x {
		dx, dy := x[i]-sumX/n, y[i]-sumY/n
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	if xx == 0 {
		return Line{Intercept: sumY / n}
	}
	line := Line{Slope: xy / xx}
	line.Intercept = (sumY - line.Slope*sumX) / n
	if yy > 0 {
		line.R2 = xy * xy / (xx * yy)
	}
	return line
}

// Slope is one quantity's line over the number of hosts, all other counts growing with it.
type Slope struct {
	Quantity string `json:"quantity"`
	Line     Line   `json:"line"`
	// AtFull is the line's value at the full number of hosts.
	AtFull float64 `json:"at_full"`
}

// Slopes fits the results of runs whose sizes are in proportion.
func Slopes(results []ControlResult) []Slope {
	var hosts []float64
	for _, r := range results {
		hosts = append(hosts, float64(r.Config.Size.Hosts))
	}
	var slopes []Slope
	for _, q := range quantities {
		var values []float64
		for _, r := range results {
			values = append(values, q.of(r))
		}
		line := Fit(hosts, values)
		slopes = append(slopes, Slope{
			Quantity: q.name, Line: line, AtFull: line.Intercept + line.Slope*float64(FullSize.Hosts),
		})
	}
	return slopes
}

// quantity is one column to be fitted.
type quantity struct {
	name string
	of   func(ControlResult) float64
}

var quantities = []quantity{
	{"resident memory, MiB", func(r ControlResult) float64 { return float64(r.ResidentBytes) / mebibyte }},
	{"live heap, MiB", func(r ControlResult) float64 { return float64(r.LiveHeapBytes) / mebibyte }},
	{"processor time, ms/s", func(r ControlResult) float64 { return r.CPUMsPerSecond }},
	{"allocation, KiB/s", func(r ControlResult) float64 { return r.AllocatedPerSec / 1024 }},
	{"control bytes, B/s", ControlResult.ControlBytesPerSecond},
	{"platform reads, 1/s", func(r ControlResult) float64 { return r.PlatformReadsSec }},
}

// WriteSlopes prints the lines as a table.
func WriteSlopes(out io.Writer, slopes []Slope) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "quantity\tintercept\tslope per host\tR2\tat full size")
	for _, s := range slopes {
		fmt.Fprintf(w, "%s\t%.2f\t%.4f\t%.3f\t%.1f\n", s.Quantity, s.Line.Intercept, s.Line.Slope, s.Line.R2, s.AtFull)
	}
	return w.Flush()
}
