package healthsim

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// PoisonRow sums up the runs of one setup.
type PoisonRow struct {
	Setup PoisonSetup `json:"setup"`
	Runs  int         `json:"runs"`
	// CrashedMedian and CrashedWorst are the numbers of targets that the poison took.
	CrashedMedian    int `json:"crashed_median"`
	CrashedWorst     int `json:"crashed_worst"`
	InnocentsRefused int `json:"innocents_refused"`
	InnocentsSent    int `json:"innocents_sent"`
	InnocentsHeld    int `json:"innocents_held"`
}

// PoisonSetups lists the setups of the table.
func PoisonSetups() []PoisonSetup {
	var setups []PoisonSetup
	for _, hosts := range []int{8, 24, 120} {
		for _, resend := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second} {
			setups = append(setups,
				PoisonSetup{Hosts: hosts, Resend: resend, Copies: 1, Relay: true, Isolate: true},
				PoisonSetup{Hosts: hosts, Resend: resend, Copies: 1, Isolate: true},
				PoisonSetup{Hosts: hosts, Resend: resend, Copies: 1, Relay: true},
				PoisonSetup{Hosts: hosts, Resend: resend, Copies: 3, Relay: true, Isolate: true})
		}
	}
	return setups
}

// PoisonExperiment runs every setup with runs seeds from firstSeed.
func PoisonExperiment(firstSeed uint64, runs int) []PoisonRow {
	var rows []PoisonRow
	for _, setup := range PoisonSetups() {
		row := PoisonRow{Setup: setup, Runs: runs}
		var crashed []int
		for i := range runs {
			r := RunPoison(setup, firstSeed+uint64(i))
			crashed = append(crashed, r.Crashed)
			row.InnocentsRefused += r.InnocentsRefused
			row.InnocentsSent += r.InnocentsSent
			row.InnocentsHeld += r.InnocentsHeld
		}
		slices.Sort(crashed)
		row.CrashedMedian = crashed[len(crashed)/2]
		row.CrashedWorst = crashed[len(crashed)-1]
		rows = append(rows, row)
	}
	return rows
}

// WritePoisonTable writes the rows as a text table.
func WritePoisonTable(rows []PoisonRow, out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "hosts\tresend\tcopies\trelay\tisolate\tcrashed\tworst\tinnocents refused\tsent\theld at end\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%d\t%v\t%d\t%v\t%v\t%d\t%d\t%d\t%d\t%d\t\n", r.Setup.Hosts, r.Setup.Resend, r.Setup.Copies,
			r.Setup.Relay, r.Setup.Isolate, r.CrashedMedian, r.CrashedWorst, r.InnocentsRefused, r.InnocentsSent, r.InnocentsHeld)
	}
	return t.Flush()
}
