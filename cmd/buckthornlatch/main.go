// Command buckthornlatch is the proxy fleet's single binary: the daemon, the
// operators' commands, the emulators and the load tool.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"buckthornlatch.example/buckthornlatch/internal/command"
)

const (
	// exitFailure is the exit code of a command that failed.
	exitFailure = 1
	// exitUsage is the exit code for bad arguments, settings or catalogue files.
	exitUsage = 2
)

// arguments is the command line.
type arguments struct {
	Serve   *command.Serve   `arg:"subcommand:serve" help:"run a daemon"`
	Emulate *command.Emulate `arg:"subcommand:emulate" help:"run a stand-in for the platform or for targets"`
	Load    *command.Load    `arg:"subcommand:load" help:"send traffic and check the answers"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "buckthornlatch is a proxy fleet for targets with gray failures."
}

// runner is a subcommand.
type runner interface {
	Run(ctx context.Context, stdout io.Writer) error
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	chosen, ok := parser.Subcommand().(runner)
	if !ok {
		parser.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := chosen.Run(ctx, os.Stdout)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "buckthornlatch:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var usage command.UsageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}
