package command

import (
	"context"
	"fmt"
	"io"

	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

// KeyList is the subcommand "key list".
type KeyList struct {
	Connection
	Customer string `arg:"--customer" placeholder:"ID" help:"only keys of this customer"`
}

// Run prints one line per key: id, customer, owner, class, state and revision.
func (c *KeyList) Run(ctx context.Context, stdout io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	entries, _, err := listEntries(ctx, client, &rpc.GetRequest{Kinds: []string{"key"}, Customer: c.Customer})
	if err != nil {
		return err
	}
	for _, entry := range entries {
		key, meta := entry.GetKey(), entry.GetMeta()
		state := "valid"
		if key.GetRevoked() {
			state = "revoked"
		}
		_, err := fmt.Fprintf(stdout, "%s  %s  owner %s  class %s  %s  revision %d\n",
			key.GetId(), key.GetCustomer(), meta.GetOwner(), meta.GetClass(), state, meta.GetRevision())
		if err != nil {
			return err
		}
	}
	return nil
}
