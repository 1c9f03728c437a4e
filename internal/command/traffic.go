package command

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
)

// maxIdleConnectionsPerDaemon bounds the client's idle connections to one daemon.
const maxIdleConnectionsPerDaemon = 512

// Load sends the traffic of a plan and checks the responses against the targets'
// run counts.
type Load struct {
	Plan     string        `arg:"--plan,required" help:"load plan, a TOML file"`
	Keys     string        `arg:"--keys,required" help:"file with a customer id and its key on each line"`
	Daemons  []string      `arg:"--daemon,separate" help:"base URL of a daemon's caller address; overrides the plan"`
	Controls []string      `arg:"--control,separate" help:"control address of emulated targets, to check their run counts"`
	Duration time.Duration `arg:"--duration" help:"overrides the plan's duration"`
	CAFile   string        `arg:"--ca-file,env:BUCKTHORNLATCH_CA_FILE" placeholder:"FILE" help:"certificate authority of the daemons; default: the system's"`
	JSON     string        `arg:"--json" help:"also write the result to this file as JSON"`
}

// ErrGuaranteeViolated reports duplicates, losses, untrue refusals or mismatched responses.
var ErrGuaranteeViolated = errors.New("the fleet violated a guarantee: see the last line of the table")

// loadResult is the JSON form of a run.
type loadResult struct {
	Summary load.Summary `json:"summary"`
	// Verdict is absent when no target control was given.
	Verdict *load.Verdict `json:"verdict,omitempty"`
}

// Run runs the plan and prints the result.
func (c *Load) Run(ctx context.Context, stdout io.Writer) error {
	if err := checkFlags(flagRule{"--duration", c.Duration >= 0, notNegative}); err != nil {
		return err
	}
	plan, err := load.ReadPlan(c.Plan)
	if err != nil {
		return err
	}
	if len(c.Daemons) > 0 {
		plan.Daemons = c.Daemons
	}
	if c.Duration > 0 {
		plan.Duration = c.Duration
	}
	if len(plan.Daemons) == 0 {
		return &InputError{Err: errors.New("no daemon given in the plan or by --daemon")}
	}
	keys, err := load.ReadKeys(c.Keys)
	if err != nil {
		return err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnectionsPerDaemon}
	if err := setRootCAs(transport, c.CAFile); err != nil {
		return err
	}
	client := &http.Client{Transport: transport}
	history, err := load.NewRunner(plan, keys, client).Run(ctx)
	if err != nil {
		return err
	}
	result := loadResult{Summary: load.Summarize(history)}
	if len(c.Controls) > 0 {
		runs, err := c.fetchRuns(client)
		if err != nil {
			return err
		}
		verdict := load.Check(history, runs)
		result.Verdict = &verdict
	}
	return c.report(stdout, result)
}

// fetchRuns returns the runs per request id, summed over all emulated targets.
func (c *Load) fetchRuns(client *http.Client) (map[string]int, error) {
	total := make(map[string]int)
	for _, control := range c.Controls {
		response, err := client.Get("http://" + control + "/runs")
		if err != nil {
			return nil, fault.New("fetch runs", control, err)
		}
		counts := make(map[string]int)
		err = json.NewDecoder(response.Body).Decode(&counts)
		_ = response.Body.Close()
		if err != nil {
			return nil, fault.New("fetch runs", control, err)
		}
		for requestID, n := range counts {
			total[requestID] += n
		}
	}
	return total, nil
}

// report prints the table and writes the JSON file.
func (c *Load) report(stdout io.Writer, result loadResult) error {
	if err := load.WriteTable(stdout, result.Summary, result.Verdict); err != nil {
		return err
	}
	if c.JSON != "" {
		encoded, err := json.MarshalIndent(result, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.JSON, append(encoded, '\n'), 0o644); err != nil {
			return fault.New("write result", "", err)
		}
	}
	if result.Verdict != nil && !result.Verdict.OK() {
		return ErrGuaranteeViolated
	}
	return nil
}
