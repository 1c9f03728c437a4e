package ownership

import (
	"slices"
	"strings"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Member is one host slot of a roster.
type Member struct {
	Host          id.HostID
	FailureDomain id.FailureDomain
}

// Roster is the set of host slots at one catalogue revision. Its members are sorted by host.
type Roster struct {
	// Revision is the catalogue revision at which the set last changed.
	Revision catalogue.Revision
	// Previous is the revision of the roster before this one; zero for the catalogue's first roster.
	Previous catalogue.Revision
	Members  []Member
}

// NewRoster returns a roster with its own sorted copy of the members.
func NewRoster(revision, previous catalogue.Revision, members []Member) Roster {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return strings.Compare(string(a.Host), string(b.Host))
	})
	return Roster{Revision: revision, Previous: previous, Members: sorted}
}

// Contains reports whether the host is a member of the roster.
func (r Roster) Contains(host id.HostID) bool {
	_, ok := slices.BinarySearchFunc(r.Members, host, func(m Member, h id.HostID) int {
		return strings.Compare(string(m.Host), string(h))
	})
	return ok
}

// Majority returns the smallest number of members that is more than half.
func (r Roster) Majority() int {
	return len(r.Members)/2 + 1
}
