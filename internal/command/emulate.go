package command

import (
	"context"
	"errors"
	"io"
)

// errNoEmulator reports an emulate command without a subcommand.
var errNoEmulator = &InputError{Err: errors.New("emulate needs one of: platform, target")}

// Emulate runs an emulator of a system outside the fleet.
type Emulate struct {
	Platform *EmulatePlatform `arg:"subcommand:platform" help:"in-memory table service and object store"`
	Target   *EmulateTarget   `arg:"subcommand:target" help:"targets of one host"`
}

// Run is called only when no subcommand was given.
func (c *Emulate) Run(context.Context, io.Writer) error {
	return errNoEmulator
}
