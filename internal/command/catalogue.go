package command

import (
	"context"
	"errors"
	"io"
)

// Catalogue is the subcommand "catalogue".
type Catalogue struct {
	Get     *CatalogueGet     `arg:"subcommand:get" help:"print the catalogue as a file"`
	Apply   *CatalogueApply   `arg:"subcommand:apply" help:"make the catalogue match a file, in one change"`
	Diff    *CatalogueDiff    `arg:"subcommand:diff" help:"show what apply would change"`
	History *CatalogueHistory `arg:"subcommand:history" help:"list the changes to an entry"`
}

// errNoSubcommand reports that a nested subcommand is missing.
var errNoSubcommand = &InputError{Err: errors.New("a subcommand is required; see --help")}

// Run runs the subcommand that was given.
func (c *Catalogue) Run(ctx context.Context, stdout io.Writer) error {
	switch {
	case c.Get != nil:
		return c.Get.Run(ctx, stdout)
	case c.Apply != nil:
		return c.Apply.Run(ctx, stdout)
	case c.Diff != nil:
		return c.Diff.Run(ctx, stdout)
	case c.History != nil:
		return c.History.Run(ctx, stdout)
	default:
		return errNoSubcommand
	}
}
