package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/mesh/daemon"
	"buckthornlatch.example/buckthornlatch/internal/mesh/entry"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policycheck"
	"buckthornlatch.example/buckthornlatch/internal/settings"
	"buckthornlatch.example/buckthornlatch/platform"
)

// Check is the subcommand "check".
type Check struct {
	Catalogue []string `arg:"--catalogue,separate" placeholder:"FILE" help:"catalogue file; several are checked as one catalogue"`
	Settings  []string `arg:"--settings,separate" placeholder:"FILE" help:"settings file of a daemon; may be given several times"`
	// PlatformSettings and OperatorConfig are checked as the daemon "mesh" reads them.
	PlatformSettings []string `arg:"--platform-settings,separate" placeholder:"FILE" help:"settings file of a mesh daemon; may be given several times"`
	OperatorConfig   []string `arg:"--operator-config,separate" placeholder:"FILE" help:"operator's configuration of mesh daemons; prints errors (exit code 2), entries that never match and limits that contradict each other"`
	// InForce is compared with each operator's configuration.
	InForce string `arg:"--in-force" placeholder:"FILE" help:"operator's configuration in force; prints what changes with --operator-config, and what this means for requests"`
}

// errNothingToCheck reports that no file was given.
var errNothingToCheck = errors.New("--catalogue, --settings, --platform-settings or --operator-config is required")

// errNothingToCompare reports that only the configuration in force was given.
var errNothingToCompare = errors.New("--in-force needs --operator-config")

// Run checks the files without calling any daemon. The error joins those of all files.
func (c *Check) Run(_ context.Context, stdout io.Writer) error {
	if c.InForce != "" && len(c.OperatorConfig) == 0 {
		return &InputError{Err: errNothingToCompare}
	}
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
		valid = append(valid, meshSettings{note: " with " + name, decode: s.DecodePolicy, checked: &policycheck.Settings{
			Regions: slices.Sorted(maps.Values(s.Regions)), GracePeriod: s.GracePeriod,
		}})
		fmt.Fprintf(stdout, "platform settings: %s is valid\n", name)
	}
	return valid, errors.Join(errs...)
}

// meshSettings are settings with which the daemon "mesh" reads the operator's configuration.
type meshSettings struct {
	// note names them in the output.
	note   string
	decode func(raw []byte) (policy.Document, error)
	// checked are the parts that a configuration can contradict; nil without settings.
	checked *policycheck.Settings
}

// environment returns what an operator's configuration is checked against.
func (s meshSettings) environment() policycheck.Environment {
	return policycheck.Environment{
		Settings: s.checked, HeaderBytes: daemon.MaxHeaderBytes, BodyBytes: link.MaxBufferedBody, DefaultTimeout: entry.DefaultTimeout,
	}
}

// checkOperatorConfig checks each operator's configuration with each of the settings, or with none. Only findings of kind
// policycheck.Error fail the check: daemons would serve what the others are about as it is written.
func (c *Check) checkOperatorConfig(stdout io.Writer, mesh []meshSettings) error {
	if len(mesh) == 0 {
		mesh = []meshSettings{{decode: platform.DecodePolicy}}
	}
	var errs []error
	for _, name := range c.OperatorConfig {
		for _, s := range mesh {
			errs = append(errs, c.checkOneConfig(stdout, name, s))
		}
	}
	return errors.Join(errs...)
}

// checkOneConfig checks an operator's configuration with one of the settings. The error is an *InputError if a file could be
// read but holds errors.
func (c *Check) checkOneConfig(stdout io.Writer, name string, s meshSettings) error {
	document, err := loadOperatorConfig("check operator configuration", name, s)
	if err != nil {
		return err
	}
	snapshot, err := policy.Build(document)
	if err != nil {
		return &InputError{Err: fault.New("check operator configuration", name, err)}
	}
	findings, err := policycheck.Check(document, s.environment())
	if err != nil {
		return &InputError{Err: fault.New("check operator configuration", name, err)}
	}
	if c.InForce != "" {
		inForce, err := loadOperatorConfig("read configuration in force", c.InForce, s)
		if err != nil {
			return err
		}
		changes, err := policycheck.Compare(inForce, document, s.environment())
		if err != nil {
			return &InputError{Err: fault.New("compare with configuration in force", c.InForce, err)}
		}
		findings = policycheck.Sort(append(findings, changes...))
	}
	for _, f := range findings {
		fmt.Fprintf(stdout, "operator configuration: %s%s: %v\n", name, s.note, f)
	}
	count := policycheck.Count(findings, policycheck.Error)
	fmt.Fprintf(stdout, "operator configuration: %s%s has version %d, %d errors, %d hints and %d changes; %s\n", name, s.note, snapshot.Version(),
		count, policycheck.Count(findings, policycheck.Unmatched, policycheck.Conflict), policycheck.Count(findings, policycheck.Change), describeKeys(snapshot))
	if count > 0 {
		return &InputError{Err: fault.New("check operator configuration", name, fmt.Errorf("%d errors", count))}
	}
	return nil
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

// loadOperatorConfig reads an operator's configuration as the daemon "mesh" does. The error is an *InputError if the file could
// be read but not decoded.
func loadOperatorConfig(step, name string, s meshSettings) (policy.Document, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return policy.Document{}, fault.New(step, name, err)
	}
	document, err := s.decode(raw)
	if err != nil {
		return policy.Document{}, &InputError{Err: fault.New(step, name, err)}
	}
	return document, nil
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
