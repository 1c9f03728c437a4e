package policy

import "buckthornlatch.example/buckthornlatch/internal/id"

// Document is a decoded configuration before validation.
type Document struct {
	Version  Version
	Routes   []Route
	Services []string
	// WarmUps holds the services whose targets are slow after their start.
	WarmUps map[id.ServiceName]WarmUp
	// HealthPaths holds the paths of the health pages of the services' targets.
	HealthPaths map[id.ServiceName]string
	Customers   []Customer
	Bounds      Bounds
	// ZeroBounds names the limits that are written as zero, which counts as missing.
	ZeroBounds []string
	// KeysRequired is set if requests need a key even if there is no customer left, whose keys would be valid.
	KeysRequired bool
	// CustomersMissing is set if a customer could not be decoded, so that an unknown key may belong to it.
	CustomersMissing bool
	// Warnings lists the parts that the decoder left out or replaced.
	Warnings []Warning
	// Raw is the configuration as the operator wrote it. Daemons send it to each other.
	Raw []byte
}
