package command

import (
	"context"
	"io"
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/measuring/capacity"
)

// MeasureOverhead measures the latency that the proxy adds to a request.
type MeasureOverhead struct {
	Rates  []float64     `arg:"--rate,separate" help:"open-loop load in requests a second; default 115 and 1150"`
	Slice  time.Duration `arg:"--slice" default:"3s" help:"time per path and round"`
	Rounds int           `arg:"--rounds" default:"4" help:"rounds per load; each round measures every path once"`
	Seed   uint64        `arg:"--seed" default:"1" help:"seed of the arrivals"`
	JSON   string        `arg:"--json" placeholder:"FILE" help:"append the result to this file, one line of JSON"`
}

// Run measures and prints all paths.
func (c *MeasureOverhead) Run(ctx context.Context, stdout io.Writer) error {
	if err := checkFlags(
		flagRule{"--slice", c.Slice > 0, aboveZero},
		flagRule{"--rounds", c.Rounds > 0, aboveZero},
		flagRule{"--rate", slices.IndexFunc(c.Rates, func(r float64) bool { return !(r > 0) }) < 0, aboveZero},
	); err != nil {
		return err
	}
	rates := c.Rates
	if len(rates) == 0 {
		rates = []float64{115, 1150}
	}
	results, err := capacity.MeasureOverhead(ctx, capacity.OverheadConfig{
		Rates: rates, Slice: c.Slice, Rounds: c.Rounds, Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	if err := appendJSON(c.JSON, results); err != nil {
		return err
	}
	return capacity.WriteOverhead(stdout, results)
}
