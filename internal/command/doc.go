// Package command implements the subcommands of the binary as go-arg structs,
// each with a method Run(ctx, stdout).
//
// ExitCode maps an error to the process's exit code: 2 for bad input
// reported by InputError or a file's errors, when nothing was applied, and 1 for
// every other failure. The operators' subcommands call the administration API
// of any daemon. They print a change id before they send a change, so that a
// change whose outcome is still unknown can be repeated with --change-id. The
// only secret ever printed is a newly issued key.
package command
