package catalogue

// Meta holds the fields that every entry has.
type Meta struct {
	// Owner is the operator group that may change the entry.
	Owner string `toml:"owner"`
	// Class is the operators' classification, for example "standard" or "large".
	Class string `toml:"class"`
	// Revision is the catalogue revision of the entry's last change; zero until a change is accepted.
	Revision Revision `toml:"-"`
	// Created is the catalogue revision that created the entry; zero in files.
	Created Revision `toml:"-"`
}
