package command

import (
	"context"
	"fmt"
	"io"

	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

// KeyRevoke is the subcommand "key revoke".
type KeyRevoke struct {
	Connection
	ChangeOptions
	KeyID     string `arg:"positional,required" placeholder:"KEY-ID" help:"public id of the key"`
	Emergency bool   `arg:"--emergency" help:"if the platform is unavailable, spread the revocation between the daemons"`
}

// Run revokes the key.
func (c *KeyRevoke) Run(ctx context.Context, stdout io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if err := c.printChangeID(stdout); err != nil {
		return err
	}
	var response *rpc.RevokeKeyResponse
	err = c.sendUntilKnown(ctx, func() (err error) {
		response, err = client.RevokeKey(ctx, &rpc.RevokeKeyRequest{
			ChangeId: c.ChangeID, Why: c.Why, KeyId: c.KeyID, Emergency: c.Emergency,
		})
		return err
	})
	if err != nil {
		return describe(err, nil)
	}
	_, err = io.WriteString(stdout, revokeMessage(response))
	return err
}

// revokeMessage returns the text that is printed for the result of a revocation.
func revokeMessage(response *rpc.RevokeKeyResponse) string {
	switch {
	case response.GetEmergency():
		return "entered as an emergency revocation; it is in force everywhere once more than half of the hosts hold it\n"
	case response.GetUnchanged():
		return "the key was revoked before\n"
	default:
		return fmt.Sprintf("accepted as revision %d\n", response.GetRevision())
	}
}
