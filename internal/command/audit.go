package command

import (
	"context"
	"io"

	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

// Audit is the subcommand "audit".
type Audit struct {
	Connection
	Operator string `arg:"--operator" placeholder:"NAME" help:"only changes by this operator"`
	After    uint64 `arg:"--after" placeholder:"REVISION" help:"only later changes" default:"0"`
}

// Run prints the audit trail, oldest first.
func (c *Audit) Run(ctx context.Context, stdout io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return printTrail(ctx, client, &rpc.AuditRequest{Operator: c.Operator, After: c.After}, stdout)
}
