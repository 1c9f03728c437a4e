package healthsim

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"
)

// Row sums up the runs of one deployment, scenario and policy.
type Row struct {
	Deployment string   `json:"deployment"`
	Scenario   Scenario `json:"scenario"`
	Policy     Policy   `json:"policy"`
	Runs       int      `json:"runs"`
	// Detected counts the runs in which the faulty target was ejected. The times are in
	// milliseconds from the fault; worst is over the runs with a detection.
	Detected          int   `json:"detected"`
	SuspectedMedianMs int64 `json:"suspected_median_ms"`
	EjectedMedianMs   int64 `json:"ejected_median_ms"`
	EjectedWorstMs    int64 `json:"ejected_worst_ms"`
	// FalseEjections and FalselyOutMs are totals over all runs.
	FalseEjections int   `json:"false_ejections"`
	FalselyOutMs   int64 `json:"falsely_out_ms"`
	// VictimEjections is the total number of ejections of the faulty target.
	VictimEjections int `json:"victim_ejections"`
	// FailedPermille is the part of requests that callers saw fail, in thousandths.
	FailedPermille  float64 `json:"failed_permille"`
	ConnectFailures int     `json:"connect_failures"`
	P99MedianMs     int64   `json:"p99_median_ms"`
}

// Report is the result of an experiment.
type Report struct {
	FirstSeed uint64 `json:"first_seed"`
	Rows      []Row  `json:"rows"`
}

// Experiment runs every scenario under every policy at both deployments, with runs seeds from firstSeed.
func Experiment(firstSeed uint64, runs int) Report {
	report := Report{FirstSeed: firstSeed}
	for _, d := range []Deployment{Chubut(), Latvia()} {
		for _, s := range Scenarios() {
			for _, p := range Policies() {
				report.Rows = append(report.Rows, Measure(d, s, p, firstSeed, runs))
			}
		}
	}
	return report
}

// Measure runs one scenario under one policy with several seeds.
func Measure(d Deployment, s Scenario, p Policy, firstSeed uint64, runs int) Row {
	row := Row{Deployment: d.Name, Scenario: s, Policy: p, Runs: runs}
	var suspected, ejected, p99 []time.Duration
	requests, failed := 0, 0
	for _, r := range runAll(d, s, p, firstSeed, runs) {
		if r.Suspected >= 0 {
			suspected = append(suspected, r.Suspected)
		}
		if r.Ejected >= 0 {
			ejected = append(ejected, r.Ejected)
		}
		p99 = append(p99, r.P99)
		row.FalseEjections += r.FalseEjections
		row.FalselyOutMs += r.FalselyOut.Milliseconds()
		row.VictimEjections += r.VictimEjections
		row.ConnectFailures += r.ConnectFailures
		requests += r.Requests
		failed += r.Failed
	}
	row.Detected = len(ejected)
	row.SuspectedMedianMs = middle(suspected)
	row.EjectedMedianMs = middle(ejected)
	row.P99MedianMs = middle(p99)
	row.EjectedWorstMs = -1
	if len(ejected) > 0 {
		row.EjectedWorstMs = slices.Max(ejected).Milliseconds()
	}
	row.FailedPermille = 1000 * float64(failed) / float64(max(1, requests))
	return row
}

// workers bounds the runs at the same time, to leave room on a shared machine.
const workers = 4

// runAll returns the results of several seeds in order.
func runAll(d Deployment, s Scenario, p Policy, firstSeed uint64, runs int) []Result {
	results := make([]Result, runs)
	var group sync.WaitGroup
	free := make(chan struct{}, workers)
	for i := range results {
		free <- struct{}{}
		group.Go(func() {
			results[i] = Run(d, s, p, firstSeed+uint64(i))
			<-free
		})
	}
	group.Wait()
	return results
}

// middle returns the median in milliseconds; -1 for no values.
func middle(values []time.Duration) int64 {
	if len(values) == 0 {
		return -1
	}
	slices.Sort(values)
	return values[len(values)/2].Milliseconds()
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as a text table.
func (r Report) WriteTable(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "deployment\tscenario\tpolicy\tdetected\tsuspected ms\tejected ms\tworst ms\tfalse\tfalse s\tvictim\tfailed ‰\tcut\tp99 ms\t")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d/%d\t%d\t%d\t%d\t%d\t%.1f\t%d\t%.2f\t%d\t%d\t\n",
			row.Deployment, row.Scenario, row.Policy, row.Detected, row.Runs, row.SuspectedMedianMs,
			row.EjectedMedianMs, row.EjectedWorstMs, row.FalseEjections, float64(row.FalselyOutMs)/1000,
			row.VictimEjections, row.FailedPermille, row.ConnectFailures, row.P99MedianMs)
	}
	return t.Flush()
}
