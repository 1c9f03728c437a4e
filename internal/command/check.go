package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/settings"
	"buckthornlatch.example/buckthornlatch/platform"
)

// Check is the subcommand "check".
type Check struct {
	Catalogue []string `arg:"--catalogue,separate" placeholder:"FILE" help:"catalogue file; several are checked as one catalogue"`
	Settings  []string `arg:"--settings,separate" placeholder:"FILE" help:"settings file of a daemon; may be given several times"`
	// PlatformSettings and OperatorConfig are checked as the daemon "mesh" reads them.
	PlatformSettings []string `arg:"--platform-settings,separate" placeholder:"FILE" help:"settings file of a mesh daemon; may be given several times"`
	OperatorConfig   []string `arg:"--operator-config,separate" placeholder:"FILE" help:"operator's configuration of mesh daemons; prints what unknown values are taken for"`
}

// errNothingToCheck reports that no file was given.
var errNothingToCheck = errors.New("--catalogue, --settings, --platform-settings or --operator-config is required")

// Run checks the files without calling any daemon. The error joins those of all files.
func (c *Check) Run(_ context.Context, stdout io.Writer) error {
	if len(c.Catalogue)+len(c.Settings)+len(c.PlatformSettings)+len(c.OperatorConfig) == 0 {
		return &InputError{Err: errNothingToCheck}
	}
	err := errors.Join(c.checkSettings(stdout), c.checkPlatformSettings(stdout), c.checkOperatorConfig(stdout))
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

// checkPlatformSettings checks each settings file of the daemon "mesh" separately.
func (c *Check) checkPlatformSettings(stdout io.Writer) error {
	var errs []error
	for _, name := range c.PlatformSettings {
		if _, err := platform.LoadSettings(name); err != nil {
			errs = append(errs, err)
			continue
		}
		fmt.Fprintf(stdout, "platform settings: %s is valid\n", name)
	}
	return errors.Join(errs...)
}

// checkOperatorConfig checks each operator's configuration separately. What a daemon would leave out or replace is
// printed and is no error, as the daemon would serve the rest.
func (c *Check) checkOperatorConfig(stdout io.Writer) error {
	var errs []error
	for _, name := range c.OperatorConfig {
		snapshot, err := loadOperatorConfig(name)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		for _, w := range snapshot.Warnings() {
			fmt.Fprintf(stdout, "operator configuration: %s: %v\n", name, w)
		}
		fmt.Fprintf(stdout, "operator configuration: %s has version %d and %d warnings\n", name, snapshot.Version(), len(snapshot.Warnings()))
	}
	return errors.Join(errs...)
}

// loadOperatorConfig reads an operator's configuration as the daemon "mesh" does.
func loadOperatorConfig(name string) (*policy.Snapshot, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, fault.New("read operator configuration", name, err)
	}
	document, err := platform.DecodePolicy(raw)
	if err != nil {
		return nil, fault.New("check operator configuration", name, err)
	}
	snapshot, err := policy.Build(document)
	return snapshot, fault.New("check operator configuration", name, err)
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
