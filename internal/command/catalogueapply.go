package command

import (
	"context"
	"fmt"
	"io"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

// CatalogueApply is the subcommand "catalogue apply".
type CatalogueApply struct {
	Connection
	ChangeOptions
	File string `arg:"positional,required" placeholder:"FILE" help:"catalogue file"`
}

// Run sends the entries of the file that differ from the catalogue as one
// change. If the given change id was already accepted, it prints the original
// result and sends nothing.
func (c *CatalogueApply) Run(ctx context.Context, stdout io.Writer) error {
	file, err := loadFiles([]string{c.File})
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	if c.ChangeID != "" {
		accepted, err := c.reportAccepted(ctx, client, stdout)
		if accepted || err != nil {
			return err
		}
	}
	snapshot, err := fetchSnapshot(ctx, client)
	if err != nil {
		return err
	}
	plans := plan(file, snapshot)
	if len(plans) == 0 {
		_, err := fmt.Fprintf(stdout, "no difference from revision %d\n", snapshot.Revision())
		return err
	}
	return c.apply(ctx, client, stdout, file, plans)
}

// reportAccepted prints the original result if the change id was already
// accepted, and reports whether it was.
func (c *CatalogueApply) reportAccepted(ctx context.Context, client rpc.Admin, stdout io.Writer) (bool, error) {
	outcome, err := client.Outcome(ctx, &rpc.OutcomeRequest{ChangeId: c.ChangeID})
	if err != nil || outcome.GetRevision() == 0 {
		return false, err
	}
	_, err = fmt.Fprintf(stdout, "accepted before as revision %d, %d entries\n", outcome.GetRevision(), len(outcome.GetEdits()))
	return true, err
}

// apply prints the differences and the change id, then sends the change.
func (c *CatalogueApply) apply(
	ctx context.Context, client rpc.Admin, stdout io.Writer, file *catalogue.File, plans []plannedEdit,
) error {
	if len(plans) > catalogue.MaxEdits {
		return &InputError{Err: fmt.Errorf("%d entries differ; one change has at most %d", len(plans), catalogue.MaxEdits)}
	}
	if err := printPlan(stdout, plans); err != nil {
		return err
	}
	if err := c.printChangeID(stdout); err != nil {
		return err
	}
	var response *rpc.ApplyResponse
	err := c.sendUntilKnown(ctx, func() (err error) {
		response, err = client.Apply(ctx, toRequest(plans, c.ChangeOptions, false))
		return err
	})
	if err != nil {
		return describe(err, file)
	}
	_, err = fmt.Fprintf(stdout, "accepted as revision %d, %d entries\n", response.GetRevision(), len(response.GetEdits()))
	return err
}
