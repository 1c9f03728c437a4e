package command

import (
	"context"
	"fmt"
	"io"
	"net"

	emulator "buckthornlatch.example/buckthornlatch/internal/emulator/platform"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// EmulatePlatform runs the platform emulator.
type EmulatePlatform struct {
	Listen string `arg:"--listen,required" help:"address, ip:port"`
	Seed   uint64 `arg:"--seed" default:"1" help:"seed that decides which responses are lost"`
	Reads  int    `arg:"--reads-per-second" default:"2000" help:"read rate limit; 0 for none"`
	Writes int    `arg:"--writes-per-second" default:"400" help:"write rate limit; 0 for none"`
}

// Run serves until the context ends.
func (c *EmulatePlatform) Run(ctx context.Context, stdout io.Writer) error {
	if err := checkFlags(
		flagRule{"--reads-per-second", c.Reads >= 0, notNegative},
		flagRule{"--writes-per-second", c.Writes >= 0, notNegative},
	); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fault.New("listen", c.Listen, err)
	}
	server := emulator.New(platform.NewMemory(), c.Seed)
	server.SetFaults(emulator.Faults{ReadsPerSecond: c.Reads, WritesPerSecond: c.Writes})
	fmt.Fprintf(stdout, "emulator: platform serves on %s\n", listener.Addr())
	return server.Serve(ctx, listener)
}
