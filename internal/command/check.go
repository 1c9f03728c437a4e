package command

import (
	"context"
	"fmt"
	"io"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

// Check is the subcommand "check".
type Check struct {
	Catalogue []string `arg:"--catalogue" placeholder:"FILE" help:"catalogue files, checked as one catalogue"`
}

// Run checks the files without calling any daemon. Error: every mistake found.
func (c *Check) Run(_ context.Context, stdout io.Writer) error {
	file, err := loadFiles(c.Catalogue)
	if err != nil {
		return err
	}
	if err := file.CheckReferences(catalogue.Empty()); err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "catalogue: %d entries are valid\n", len(file.Entries))
	return err
}
