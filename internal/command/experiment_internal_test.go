package command

import (
	"fmt"
	"testing"

	"github.com/alexflint/go-arg"
)

// TestExperimentSeed guards against a seed that is ignored, so that a run is not the one that was asked for.
func TestExperimentSeed(t *testing.T) {
	const file = "../../experiments/chubut-poison.toml"
	unchanged, err := (&Experiment{File: file}).readSpec()
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range []int64{-1, 0, 1, 1 << 62} {
		var c Experiment
		parser, err := arg.NewParser(arg.Config{}, &c)
		if err != nil {
			t.Fatal(err)
		}
		if err := parser.Parse([]string{fmt.Sprintf("--seed=%d", seed), file}); err != nil {
			t.Fatal(err)
		}
		if spec, err := c.readSpec(); err != nil || spec.Seed != seed {
			t.Errorf("seed %d is read as %d (%v); the file has %d", seed, spec.Seed, err, unchanged.Seed)
		}
	}
}
