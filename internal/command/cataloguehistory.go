package command

import (
	"context"
	"errors"
	"io"
	"strings"

	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

// CatalogueHistory is the subcommand "catalogue history".
type CatalogueHistory struct {
	Connection
	Entry string `arg:"positional,required" placeholder:"KIND/ID" help:"entry, e.g. customer/parks"`
	After uint64 `arg:"--after" placeholder:"REVISION" help:"only later changes" default:"0"`
}

// Run prints the changes to the entry, oldest first.
func (c *CatalogueHistory) Run(ctx context.Context, stdout io.Writer) error {
	kind, id, ok := strings.Cut(c.Entry, "/")
	if !ok || kind == "" || id == "" {
		return &InputError{Err: errors.New("the entry must be given as KIND/ID")}
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	return printTrail(ctx, client, &rpc.AuditRequest{Kind: kind, Id: id, After: c.After}, stdout)
}
