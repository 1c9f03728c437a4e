package policy

import "slices"

// Regions lists where requests may go. The zero value permits every region.
type Regions struct {
	limited bool
	names   []string
}

// OnlyRegions permits the given regions and no others.
func OnlyRegions(names ...string) Regions {
	return Regions{limited: true, names: names}
}

// Limited reports whether some regions are not permitted.
func (r Regions) Limited() bool { return r.limited }

// Names returns the permitted regions of a limited list. The slice must not be modified.
func (r Regions) Names() []string { return r.names }

// Permit reports whether a region is permitted. A region without a name is one that the settings do not tell; nothing that is
// limited may go there.
func (r Regions) Permit(region string) bool {
	return !r.limited || (region != "" && slices.Contains(r.names, region))
}

// None reports whether no region is permitted.
func (r Regions) None() bool { return r.limited && len(r.names) == 0 }

// And returns the regions that both lists permit.
func (r Regions) And(other Regions) Regions {
	switch {
	case !r.limited:
		return other
	case !other.limited:
		return r
	}
	both := Regions{limited: true}
	for _, name := range r.names {
		if other.Permit(name) {
			both.names = append(both.names, name)
		}
	}
	return both
}
