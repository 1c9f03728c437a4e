package membership

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Addresses lists the addresses of a host, as host:port.
type Addresses struct {
	// Control is for messages between daemons.
	Control string
	// Hop is the gate's address for requests from entries.
	Hop string
}

// Record is what a host publishes about itself. A published record is immutable.
type Record struct {
	Host          id.HostID
	FailureDomain id.FailureDomain
	Addresses     Addresses
	Incarnation   id.Incarnation
	// Sequence numbers the changes within an incarnation.
	Sequence uint64
	// ContentSequence is the sequence of the last change to anything but Status and the targets' summaries.
	ContentSequence uint64
	Status          Status
	Targets         []Target
	// Held lists the epochs of other host slots whose ticket records the host stores.
	Held []HeldEpoch
	// Suspects is the host's own evidence about requests that crash targets.
	Suspects []Suspect
}

// Status is the small part of a record that changes most often; it is sent without the content when
// the content has not changed.
type Status struct {
	// Epoch is the epoch of the host slot that this process holds; zero while unregistered.
	Epoch             id.Epoch
	CatalogueRevision catalogue.Revision
	// RosterAcknowledged is the catalogue revision of the newest roster that the host acts on.
	RosterAcknowledged catalogue.Revision
	// EpochsMark is the mark of the host's Epochs; hosts with equal marks have the same epochs.
	EpochsMark uint64
	// RevocationsMark is the hash of the emergency revocations that the host holds.
	RevocationsMark uint64
}

// Version orders the records of one host.
type Version struct {
	Incarnation id.Incarnation
	Sequence    uint64
}

// Newer reports whether v supersedes w.
func (v Version) Newer(w Version) bool {
	if v.Incarnation != w.Incarnation {
		return v.Incarnation > w.Incarnation
	}
	return v.Sequence > w.Sequence
}

// Version returns the record's version.
func (r *Record) Version() Version {
	return Version{r.Incarnation, r.Sequence}
}

// clone copies the record so that it can be changed and published again.
func (r *Record) clone() *Record {
	c := *r
	c.Targets = slices.Clone(r.Targets)
	c.Held = slices.Clone(r.Held)
	c.Suspects = slices.Clone(r.Suspects)
	return &c
}
