// Package command holds the subcommands of the binary: go-arg structs, each
// with a method Run(ctx, stdout).
//
// ExitCode maps an error to the process's exit code: 2 for bad input, of which
// nothing was applied, and 1 for everything else. The operators' subcommands
// call the administration API of any daemon. They print a change id before they
// send a change, so that a change whose outcome stays unknown can be sent again
// with --change-id. No token or key is printed but the one that is issued.
package command
