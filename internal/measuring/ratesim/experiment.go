package ratesim

import (
	"fmt"
	"io"
	"time"
)

// Options selects what an experiment runs.
type Options struct {
	Seed uint64
	// Small, Large and Queue select the groups of scenarios. Large takes a minute or more.
	Small, Large, Queue bool
	// Policies restricts the policies; empty means all.
	Policies []PolicyName
	// JSON writes JSON in place of a table.
	JSON bool
}

// Run simulates the selected scenarios and writes the report to w.
func Run(w io.Writer, options Options) error {
	report := Measure(options)
	if options.JSON {
		return report.WriteJSON(w)
	}
	return report.WriteTable(w)
}

// Measure simulates the selected scenarios.
func Measure(options Options) Report {
	var report Report
	policies := options.Policies
	if len(policies) == 0 {
		policies = Policies
	}
	for _, scenario := range scenarios(options) {
		for _, policy := range policies {
			report.Rates = append(report.Rates, Simulate(scenario, policy))
		}
	}
	if options.Queue {
		for _, discipline := range []Discipline{Fair, FIFO} {
			report.Queues = append(report.Queues, SimulateQueue(discipline, options.Seed))
		}
	}
	return report
}

// scenarios lists the selected rate scenarios.
func scenarios(options Options) []Scenario {
	var out []Scenario
	patterns := []Pattern{Spread, Single, Moving}
	for _, pattern := range patterns {
		if options.Small {
			out = append(out, SmallFleet(pattern, options.Seed))
		}
		if options.Large {
			out = append(out, LargeFleet(pattern, options.Seed))
		}
	}
	if options.Small {
		over := SmallFleet(Spread, options.Seed)
		over.Load = 3
		lost := SmallFleet(Spread, options.Seed)
		lost.LoseAt, lost.LostFor = 10*time.Second, 10*time.Second
		lost.Name = fmt.Sprintf("%s, one lost after %v for %v", lost.Name, lost.LoseAt, lost.LostFor)
		out = append(out, over, lost)
	}
	return out
}
