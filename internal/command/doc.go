// Package command holds the subcommands of the binary. Each is a go-arg struct
// with a Run method that works until it is done or its context ends.
package command
