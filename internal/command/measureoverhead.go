package command

import (
	"context"
	"io"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/measuring/capacity"
)

// MeasureOverhead measures what the request path adds.
type MeasureOverhead struct {
	Rates  []float64     `arg:"--rate,separate" help:"open-loop load in requests a second; default 115 and 1150"`
	Slice  time.Duration `arg:"--slice" default:"3s" help:"length of one visit of one path"`
	Rounds int           `arg:"--rounds" default:"4" help:"visits of each path under each load"`
	Seed   uint64        `arg:"--seed" default:"1" help:"seed of the arrivals"`
	JSON   string        `arg:"--json" placeholder:"FILE" help:"append the result to this file, one line of JSON"`
}

// Run measures and prints all paths.
func (c *MeasureOverhead) Run(ctx context.Context, stdout io.Writer) error {
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
