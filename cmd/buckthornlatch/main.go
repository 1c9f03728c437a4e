// Command buckthornlatch is the only binary of the proxy fleet. It contains the
// daemon, the operators' commands, the emulators and the load and measurement
// tools.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"buckthornlatch.example/buckthornlatch/internal/command"
)

// arguments defines the command line.
type arguments struct {
	Serve      *command.Serve      `arg:"subcommand:serve" help:"run a daemon"`
	Catalogue  *command.Catalogue  `arg:"subcommand:catalogue" help:"get, compare and change the catalogue"`
	Key        *command.Key        `arg:"subcommand:key" help:"issue, revoke and list callers' keys"`
	Status     *command.Status     `arg:"subcommand:status" help:"show the state of a daemon"`
	Audit      *command.Audit      `arg:"subcommand:audit" help:"list accepted changes"`
	Check      *command.Check      `arg:"subcommand:check" help:"check settings and catalogue files"`
	Mesh       *command.Mesh       `arg:"subcommand:mesh" help:"run the daemon beside a target on the users' platform"`
	Devcerts   *command.Devcerts   `arg:"subcommand:devcerts" help:"write a development authority and a daemon certificate"`
	Emulate    *command.Emulate    `arg:"subcommand:emulate" help:"emulate the platform or targets"`
	Load       *command.Load       `arg:"subcommand:load" help:"send traffic and check the responses"`
	Experiment *command.Experiment `arg:"subcommand:experiment" help:"run a fleet with load and faults in one process"`
	Measure    *command.Measure    `arg:"subcommand:measure" help:"measure a daemon's resource use and the latency that the proxy adds"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "buckthornlatch is a proxy fleet for targets with gray failures."
}

// runner is implemented by every subcommand.
type runner interface {
	Run(ctx context.Context, stdout io.Writer) error
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	chosen, ok := parser.Subcommand().(runner)
	if !ok {
		parser.WriteHelp(os.Stderr)
		os.Exit(command.ExitBadInput)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := chosen.Run(ctx, os.Stdout)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "buckthornlatch:", err)
	}
	os.Exit(command.ExitCode(err))
}
