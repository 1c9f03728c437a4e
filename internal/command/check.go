package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/settings"
)

// Check is the subcommand "check".
type Check struct {
	Catalogue []string `arg:"--catalogue,separate" placeholder:"FILE" help:"catalogue file; several are checked as one catalogue"`
	Settings  []string `arg:"--settings,separate" placeholder:"FILE" help:"settings file of a daemon; may be given several times"`
}

// errNothingToCheck reports that no file was given.
var errNothingToCheck = errors.New("--catalogue or --settings is required")

// Run checks the files without calling any daemon. The error joins those of all files.
func (c *Check) Run(_ context.Context, stdout io.Writer) error {
	if len(c.Catalogue) == 0 && len(c.Settings) == 0 {
		return &InputError{Err: errNothingToCheck}
	}
	err := c.checkSettings(stdout)
	if len(c.Catalogue) > 0 {
		err = errors.Join(err, c.checkCatalogue(stdout))
	}
	return err
}

// checkSettings checks each settings file separately.
func (c *Check) checkSettings(stdout io.Writer) error {
	var errs []error
	for _, name := range c.Settings {
		if _, err := settings.Load(name); err != nil {
			errs = append(errs, err)
			continue
		}
		fmt.Fprintf(stdout, "settings: %s is valid\n", name)
	}
	return errors.Join(errs...)
}

// checkCatalogue checks the catalogue files as one catalogue.
func (c *Check) checkCatalogue(stdout io.Writer) error {
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
