package command

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

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
	// SIGHUP would end the process without a drain. There is nothing to reload: certificates are read again by themselves.
	signal.Ignore(syscall.SIGHUP)
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
