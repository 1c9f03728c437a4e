package command

import (
	"context"
	"fmt"
	"io"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

// CatalogueDiff is the subcommand "catalogue diff".
type CatalogueDiff struct {
	Connection
	File string `arg:"positional,required" placeholder:"FILE" help:"catalogue file"`
}

// Run prints what apply would change and has the daemon validate it in a dry run.
func (c *CatalogueDiff) Run(ctx context.Context, stdout io.Writer) error {
	file, err := loadFiles([]string{c.File})
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	snapshot, err := fetchSnapshot(ctx, client)
	if err != nil {
		return err
	}
	plans := plan(file, snapshot)
	if err := printPlan(stdout, plans); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(stdout, "%d entries differ from revision %d\n", len(plans), snapshot.Revision()); err != nil {
		return err
	}
	if len(plans) == 0 || len(plans) > catalogue.MaxEdits {
		return nil
	}
	_, err = client.Apply(ctx, toRequest(plans, ChangeOptions{ChangeID: "diff"}, true))
	return describe(err, file)
}
