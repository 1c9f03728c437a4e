package command

import (
	"context"
	"errors"
	"io"
)

// errNoEmulator reports an emulate command without a part.
var errNoEmulator = errors.New("emulate needs one of: platform, target")

// Emulate runs a stand-in for a system outside the fleet.
type Emulate struct {
	Platform *EmulatePlatform `arg:"subcommand:platform" help:"table service and object store in memory"`
	Target   *EmulateTarget   `arg:"subcommand:target" help:"targets of one host"`
}

// Run is called only when no part was chosen.
func (c *Emulate) Run(context.Context, io.Writer) error {
	return errNoEmulator
}
