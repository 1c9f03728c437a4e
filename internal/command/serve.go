package command

import (
	"context"
	"io"
	"os"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/daemon"
	"buckthornlatch.example/buckthornlatch/internal/settings"
)

// Serve runs a daemon.
type Serve struct {
	Settings string `arg:"--settings,required" help:"settings file (TOML)"`
}

// Run serves until the context ends, then drains.
func (c *Serve) Run(ctx context.Context, _ io.Writer) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("host", s.Host.Name).Logger()
	applyGCPercent(s.Limits.GCPercent)
	d := daemon.New(s, log)
	if err := d.Provision(); err != nil {
		return err
	}
	defer d.Cleanup()
	return d.Run(ctx)
}
