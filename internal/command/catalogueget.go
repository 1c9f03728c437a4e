package command

import (
	"context"
	"io"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

// CatalogueGet is the subcommand "catalogue get".
type CatalogueGet struct {
	Connection
	Kinds []string `arg:"positional" placeholder:"KIND" help:"host, service, customer or route; default: all"`
}

// Run prints the catalogue in the form that apply reads, with the revision of
// every entry.
func (c *CatalogueGet) Run(ctx context.Context, stdout io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	snapshot, err := fetchSnapshot(ctx, client)
	if err != nil {
		return err
	}
	kinds := make([]catalogue.Kind, 0, len(c.Kinds))
	for _, kind := range c.Kinds {
		kinds = append(kinds, catalogue.Kind(kind))
	}
	data, err := catalogue.Render(snapshot.Sorted(kinds...))
	if err != nil {
		return err
	}
	_, err = stdout.Write(data)
	return err
}
