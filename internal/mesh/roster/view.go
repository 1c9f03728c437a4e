package roster

import (
	"slices"
	"strings"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// View is an immutable set of records.
type View struct {
	hosts []Record
	// whole is set if the view has all records that the store held when it was read.
	whole bool
	// evacuated lists the failure domains to whose targets nothing may be sent; see WithEvacuation.
	evacuated       []id.FailureDomain
	evacuationKnown bool
}

// NewView returns a whole view of the records, ordered by host.
func NewView(records []Record) *View {
	view := NewPartialView(records)
	view.whole = true
	return view
}

// NewPartialView returns a view of the records of which others may be missing. No count, rank or share of hosts can be
// taken from it.
func NewPartialView(records []Record) *View {
	hosts := slices.Clone(records)
	slices.SortFunc(hosts, func(a, b Record) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return &View{hosts: hosts}
}

// Whole reports whether the view had no record missing when the roster was read.
func (v *View) Whole() bool { return v.whole }

// Hosts returns all records ordered by host. The slice must not be modified.
func (v *View) Hosts() []Record { return v.hosts }

// Find returns the record of a host.
func (v *View) Find(host id.HostID) (Record, bool) {
	i, found := slices.BinarySearchFunc(v.hosts, host, func(r Record, h id.HostID) int {
		return strings.Compare(string(r.Host), string(h))
	})
	if !found {
		return Record{}, false
	}
	return v.hosts[i], true
}
