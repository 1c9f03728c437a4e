package command

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/measuring/experiment"
)

// Experiment runs a fleet under load with injected faults in this process.
type Experiment struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"experiment file (TOML)"`
	Seed *int64 `arg:"--seed" help:"overrides the experiment's seed"`
	JSON string `arg:"--json" placeholder:"FILE" help:"also write the result to this file as JSON"`
	Plot string `arg:"--plot" placeholder:"FILE" help:"also draw the run to this file (.svg or .png)"`
}

// Run runs the experiment and prints the result.
func (c *Experiment) Run(ctx context.Context, stdout io.Writer) error {
	spec, err := c.readSpec()
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(zerolog.ErrorLevel)
	result, err := experiment.Run(ctx, spec, log)
	if err != nil {
		return err
	}
	if err := experiment.WriteTable(stdout, result); err != nil {
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
	if c.Plot != "" {
		if err := experiment.Plot(result, c.Plot); err != nil {
			return err
		}
	}
	if !result.Verdict.OK() {
		return ErrGuaranteeViolated
	}
	return nil
}

// readSpec reads the experiment with the overrides of the command line.
func (c *Experiment) readSpec() (experiment.Spec, error) {
	spec, err := experiment.ReadSpec(c.File)
	if c.Seed != nil {
		spec.Seed = *c.Seed
	}
	return spec, err
}
