package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/measuring/capacity"
	"buckthornlatch.example/buckthornlatch/internal/settings"
)

// errNoMeasurement reports a measure command without a subcommand.
var errNoMeasurement = &InputError{Err: errors.New("measure needs one of: standins, control, slopes, overhead, platform")}

// Measure measures the resource use of the fleet.
type Measure struct {
	Standins *MeasureStandins `arg:"subcommand:standins" help:"simulate the rest of the fleet for one measured daemon"`
	Control  *MeasureControl  `arg:"subcommand:control" help:"measure one daemon's control work among stand-ins"`
	Slopes   *MeasureSlopes   `arg:"subcommand:slopes" help:"fit lines through results of measure control"`
	Overhead *MeasureOverhead `arg:"subcommand:overhead" help:"measure the latency that the proxy adds"`
	Platform *MeasurePlatform `arg:"subcommand:platform" help:"measure the load of a whole fleet on the platform"`
}

// Run is called only when no subcommand was given.
func (c *Measure) Run(context.Context, io.Writer) error {
	return errNoMeasurement
}

// MeasureStandins runs the simulated fleet.
type MeasureStandins struct {
	Listen    string        `arg:"--listen" default:"127.0.0.1:22000" help:"control address, ip:port"`
	Hosts     int           `arg:"--hosts" default:"460" help:"hosts, the measured one included"`
	Targets   int           `arg:"--targets" default:"4200"`
	Services  int           `arg:"--services" default:"110"`
	Routes    int           `arg:"--routes" default:"3700"`
	Customers int           `arg:"--customers" default:"21000"`
	Keys      int           `arg:"--keys" default:"42000"`
	Changes   time.Duration `arg:"--change-interval" default:"0s" help:"time between catalogue changes; 0 for none"`
	Restarts  time.Duration `arg:"--restart-interval" default:"0s" help:"time between restarts of hosts; 0 for none"`
	Summary   time.Duration `arg:"--summary-interval" default:"1m" help:"time between two changes of one target's summary"`
	Gossip    time.Duration `arg:"--gossip-interval" default:"1s" help:"time between two gossip exchanges of one host"`
}

// Run serves until the context ends.
func (c *MeasureStandins) Run(ctx context.Context, stdout io.Writer) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fault.New("listen", c.Listen, err)
	}
	standins, err := capacity.NewStandins(ctx, capacity.StandinsConfig{
		Size: capacity.Size{
			Hosts: c.Hosts, Targets: c.Targets, Services: c.Services,
			Routes: c.Routes, Customers: c.Customers, Keys: c.Keys,
		},
		ChangeInterval:  c.Changes,
		RestartInterval: c.Restarts,
		SummaryInterval: c.Summary,
		GossipInterval:  c.Gossip,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "measure: stand-ins serve on %s\n", listener.Addr())
	return standins.Run(ctx, listener)
}

// MeasureControl measures one daemon in this process.
type MeasureControl struct {
	Standins string        `arg:"--standins" default:"127.0.0.1:22000" help:"control address of measure standins"`
	Settle   time.Duration `arg:"--settle" default:"5s" help:"warm-up time before the measurement"`
	Window   time.Duration `arg:"--window" default:"20s" help:"length of the measurement"`
	JSON     string        `arg:"--json" placeholder:"FILE" help:"append the result to this file, one line of JSON"`
	Profile  string        `arg:"--profile" placeholder:"FILE" help:"write a CPU profile of the measurement"`
	Heap     string        `arg:"--heap-profile" placeholder:"FILE" help:"write a heap profile taken after the measurement"`
}

// Run measures one daemon and prints one row.
func (c *MeasureControl) Run(ctx context.Context, stdout io.Writer) error {
	if err := checkFlags(
		flagRule{"--window", c.Window > 0, aboveZero},
		flagRule{"--settle", c.Settle >= 0, notNegative},
	); err != nil {
		return err
	}
	applyGCPercent(settings.Default().Limits.GCPercent)
	result, err := capacity.MeasureControl(ctx, capacity.ControlConfig{
		Standins:    c.Standins,
		Settle:      c.Settle,
		Window:      c.Window,
		Profile:     c.Profile,
		HeapProfile: c.Heap,
		Log:         zerolog.New(os.Stderr).Level(zerolog.WarnLevel),
	})
	if err != nil {
		return err
	}
	if err := appendJSON(c.JSON, result); err != nil {
		return err
	}
	return capacity.WriteControl(stdout, []capacity.ControlResult{result})
}

// appendJSON appends one line of JSON to a file. An empty name writes nothing.
func appendJSON(name string, result any) error {
	if name == "" {
		return nil
	}
	line, err := json.Marshal(result)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fault.New("open result", "", err)
	}
	_, err = file.Write(append(line, '\n'))
	return fault.New("write result", "", errors.Join(err, file.Close()))
}
