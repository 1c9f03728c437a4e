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
	err := c.checkSettings(stdout)
	mesh, meshErr := c.checkPlatformSettings(stdout)
	err = errors.Join(err, meshErr, c.checkOperatorConfig(stdout, mesh))
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

// checkPlatformSettings checks each settings file of the daemon "mesh" separately and returns the valid ones.
func (c *Check) checkPlatformSettings(stdout io.Writer) ([]meshSettings, error) {
	var valid []meshSettings
	var errs []error
	for _, name := range c.PlatformSettings {
		s, err := platform.LoadSettings(name)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		valid = append(valid, meshSettings{note: " with " + name, decode: s.DecodePolicy})
		fmt.Fprintf(stdout, "platform settings: %s is valid\n", name)
	}
	return valid, errors.Join(errs...)
}

// meshSettings are settings with which the daemon "mesh" reads the operator's configuration.
type meshSettings struct {
	// note names them in the output.
	note   string
	decode func(raw []byte) (policy.Document, error)
}

// checkOperatorConfig checks each operator's configuration with each of the settings, or with none. What a daemon would
// leave out or replace is printed and is no error, as the daemon would serve the rest.
func (c *Check) checkOperatorConfig(stdout io.Writer, mesh []meshSettings) error {
	if len(mesh) == 0 {
		mesh = []meshSettings{{decode: platform.DecodePolicy}}
	}
	var errs []error
	for _, name := range c.OperatorConfig {
		for _, s := range mesh {
			snapshot, err := loadOperatorConfig(name, s)
			if err != nil {
				errs = append(errs, err)
				continue
			}
			for _, w := range snapshot.Warnings() {
				fmt.Fprintf(stdout, "operator configuration: %s: %v\n", name, w)
			}
			fmt.Fprintf(stdout, "operator configuration: %s%s has version %d and %d warnings; %s\n",
				name, s.note, snapshot.Version(), len(snapshot.Warnings()), describeKeys(snapshot))
		}
	}
	return errors.Join(errs...)
}

// describeKeys tells whether requests need a key.
func describeKeys(s *policy.Snapshot) string {
	switch {
	case !s.KeysRequired():
		return "requests need no key"
	case len(s.Customers()) == 0:
		return "requests need a key, and no key is valid"
	}
	return fmt.Sprintf("requests need a key of one of %d customers", len(s.Customers()))
}

// loadOperatorConfig reads an operator's configuration as the daemon "mesh" does.
func loadOperatorConfig(name string, s meshSettings) (*policy.Snapshot, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, fault.New("read operator configuration", name, err)
	}
	document, err := s.decode(raw)
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
