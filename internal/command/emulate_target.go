package command

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/emulator/target"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// EmulateTarget runs emulated targets of one host in this process.
type EmulateTarget struct {
	Announce    string        `arg:"--announce,required" help:"the daemon's local address, ip:port"`
	Control     string        `arg:"--control,required" help:"address of the control endpoint, ip:port"`
	Targets     []string      `arg:"--target,required,separate" help:"service/name of a target; may be given several times"`
	Slots       int           `arg:"--slots" default:"5" help:"concurrent requests per target"`
	ServiceTime time.Duration `arg:"--service-time" default:"20ms" help:"mean time of one request"`
	ColdStart   time.Duration `arg:"--cold-start" default:"0s" help:"time after the start with slow responses"`
	CrashPath   string        `arg:"--crash-path" help:"path prefix of requests that crash a target"`
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of the service times"`
}

// Run serves the targets until the context ends, then waits until each has
// announced that it is leaving, finished its work and closed.
func (c *EmulateTarget) Run(ctx context.Context, stdout io.Writer) error {
	if err := checkFlags(
		flagRule{"--slots", c.Slots > 0, aboveZero},
		flagRule{"--service-time", c.ServiceTime > 0, aboveZero},
		flagRule{"--cold-start", c.ColdStart >= 0, notNegative},
	); err != nil {
		return err
	}
	runs := target.NewRuns()
	targets, err := c.listen(runs)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.Control)
	if err != nil {
		return fault.New("listen for control", c.Control, err)
	}
	server := &http.Server{Handler: target.NewControl(targets, runs), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	var wait sync.WaitGroup
	for _, t := range targets {
		fmt.Fprintf(stdout, "emulator: target %s serves on %s\n", t.Name(), t.Addr())
		wait.Add(1)
		go func() {
			defer wait.Done()
			t.Run(ctx)
		}()
	}
	wait.Wait()
	return fault.New("close control", c.Control, server.Close())
}

// listen creates all targets and opens their listeners.
func (c *EmulateTarget) listen(runs *target.Runs) ([]*target.Target, error) {
	var targets []*target.Target
	for i, name := range c.Targets {
		service, short, ok := strings.Cut(name, "/")
		if !ok || service == "" || short == "" {
			return nil, &InputError{Err: fmt.Errorf("target %q is not of the form service/name", name)}
		}
		t := target.New(target.Config{
			Name:        short,
			Service:     id.ServiceName(service),
			Listen:      "127.0.0.1:0",
			Announce:    c.Announce,
			Slots:       c.Slots,
			ServiceTime: c.ServiceTime,
			ColdStart:   c.ColdStart,
			CrashPath:   c.CrashPath,
			Seed:        c.Seed + uint64(i),
		}, runs)
		if err := t.Listen(); err != nil {
			return nil, err
		}
		targets = append(targets, t)
	}
	return targets, nil
}
