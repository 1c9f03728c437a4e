package command

import (
	"context"
	"fmt"
	"io"

	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

// KeyIssue is the subcommand "key issue".
type KeyIssue struct {
	Connection
	ChangeOptions
	Customer string `arg:"--customer,required" placeholder:"ID" help:"customer that the key is issued to"`
	Class    string `arg:"--class" placeholder:"CLASS" help:"class of the key" default:"standard"`
}

// Run issues a key and prints it. The key itself is not stored anywhere, so it
// cannot be printed again.
func (c *KeyIssue) Run(ctx context.Context, stdout io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if err := c.printChangeID(stdout); err != nil {
		return err
	}
	var response *rpc.IssueKeyResponse
	err = c.sendUntilKnown(ctx, func() (err error) {
		response, err = client.IssueKey(ctx, &rpc.IssueKeyRequest{
			ChangeId: c.ChangeID, Why: c.Why, Customer: c.Customer, Class: c.Class,
		})
		return err
	})
	if err != nil {
		return describe(err, nil)
	}
	if response.GetKey() == "" {
		return fmt.Errorf("%s was issued before as revision %d and its key is kept nowhere; revoke it and issue another",
			response.GetKeyId(), response.GetRevision())
	}
	_, err = fmt.Fprintf(stdout, "accepted as revision %d\nkey id: %s\nkey: %s\n",
		response.GetRevision(), response.GetKeyId(), response.GetKey())
	return err
}
