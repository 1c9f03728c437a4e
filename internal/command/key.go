package command

import (
	"context"
	"io"
)

// Key is the subcommand "key".
type Key struct {
	Issue  *KeyIssue  `arg:"subcommand:issue" help:"issue a key and print it once"`
	Revoke *KeyRevoke `arg:"subcommand:revoke" help:"revoke a key permanently"`
	List   *KeyList   `arg:"subcommand:list" help:"list keys, revoked ones included"`
}

// Run runs the subcommand that was given.
func (c *Key) Run(ctx context.Context, stdout io.Writer) error {
	switch {
	case c.Issue != nil:
		return c.Issue.Run(ctx, stdout)
	case c.Revoke != nil:
		return c.Revoke.Run(ctx, stdout)
	case c.List != nil:
		return c.List.Run(ctx, stdout)
	default:
		return errNoSubcommand
	}
}
