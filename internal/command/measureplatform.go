package command

import (
	"context"
	"io"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/measuring/capacity"
)

// secondsPerDay converts a rate per day to an interval.
const secondsPerDay = 86400

// MeasurePlatform measures the load that a whole fleet, run in this process, puts
// on the platform.
type MeasurePlatform struct {
	Daemons  int           `arg:"--daemons" default:"460"`
	Reads    int           `arg:"--reads-per-second" default:"2000" help:"the platform's read rate limit"`
	Writes   int           `arg:"--writes-per-second" default:"400" help:"the platform's write rate limit"`
	Scale    float64       `arg:"--catalogue-scale" default:"0.02" help:"size of the catalogue as a fraction of the full one"`
	Changes  float64       `arg:"--changes-per-day" default:"1500"`
	Restarts float64       `arg:"--restarts-per-day" default:"1300"`
	Phase    time.Duration `arg:"--phase" default:"25s" help:"length of each phase"`
	Outage   time.Duration `arg:"--outage" default:"60s" help:"length of the outage"`
	JSON     string        `arg:"--json" placeholder:"FILE" help:"append the result to this file, one line of JSON"`
}

// Run measures all phases and prints them.
func (c *MeasurePlatform) Run(ctx context.Context, stdout io.Writer) error {
	if err := checkFlags(
		flagRule{"--daemons", c.Daemons > 0, aboveZero},
		flagRule{"--reads-per-second", c.Reads >= 0, notNegative},
		flagRule{"--writes-per-second", c.Writes >= 0, notNegative},
		flagRule{"--catalogue-scale", c.Scale > 0, aboveZero},
		flagRule{"--changes-per-day", c.Changes > 0, aboveZero},
		flagRule{"--restarts-per-day", c.Restarts > 0, aboveZero},
		flagRule{"--phase", c.Phase > 0, aboveZero},
		flagRule{"--outage", c.Outage >= 0, notNegative},
	); err != nil {
		return err
	}
	phases, err := capacity.MeasurePlatform(ctx, capacity.PlatformConfig{
		Daemons:         c.Daemons,
		ReadsPerSecond:  c.Reads,
		WritesPerSecond: c.Writes,
		Catalogue:       capacity.FullSize.Scaled(c.Scale),
		ChangeInterval:  time.Duration(float64(time.Second) * secondsPerDay / c.Changes),
		RestartInterval: time.Duration(float64(time.Second) * secondsPerDay / c.Restarts),
		Phase:           c.Phase,
		Outage:          c.Outage,
	})
	if err != nil {
		return err
	}
	if err := appendJSON(c.JSON, phases); err != nil {
		return err
	}
	return capacity.WritePlatform(stdout, phases)
}
