package catalogue

import (
	"slices"
	"strings"
)

// References checks a snapshot in which the entries named by refs were changed
// or removed: the entries that they refer to must exist, no remaining entry may
// refer to a removed one, and no changed route may match the same requests as
// another route. A revoked key may refer to a removed customer. It returns every
// problem found.
func (s *Snapshot) References(refs []Ref) []Problem {
	var problems []Problem
	removed := map[Ref]bool{}
	for _, ref := range refs {
		entry := s.Entry(ref)
		if entry == nil {
			removed[ref] = true
			continue
		}
		problems = append(problems, s.checkEntryReferences(entry)...)
	}
	return append(problems, s.danglingReferences(removed)...)
}

// checkEntryReferences checks that the entries that an entry refers to exist.
func (s *Snapshot) checkEntryReferences(entry Entry) []Problem {
	v := &validator{ref: entry.Ref()}
	switch e := entry.(type) {
	case *Route:
		s.checkRouteReferences(v, e)
	case *Key:
		if s.Customer(e.Customer) == nil && !e.Revoked {
			v.add("customer", "%q does not exist", e.Customer)
		}
	}
	return v.problems
}

// checkRouteReferences checks the references of a route, and that no other
// route matches the same requests.
func (s *Snapshot) checkRouteReferences(v *validator, r *Route) {
	if s.Service(r.Service) == nil {
		v.add("service", "%q does not exist", r.Service)
	}
	for _, c := range r.Customers {
		if s.Customer(c) == nil {
			v.add("customers", "%q does not exist", c)
		}
	}
	for _, other := range s.RoutesAt(r.Host, r.PathPrefix) {
		if other.ID != r.ID && methodsOverlap(other.Methods, r.Methods) {
			v.add("path_prefix", "matches the same requests as route %q", other.ID)
		}
	}
}

// methodsOverlap reports whether two method lists match a common method with
// equal precedence. A route that lists a method takes precedence over one that
// matches all methods, so such a pair does not overlap.
func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

// danglingReferences returns the problems of entries that refer to a removed entry.
func (s *Snapshot) danglingReferences(removed map[Ref]bool) []Problem {
	if len(removed) == 0 {
		return nil
	}
	var problems []Problem
	for r := range s.routes.all() {
		referenced := []Ref{{KindService, string(r.Service)}}
		for _, c := range r.Customers {
			referenced = append(referenced, Ref{KindCustomer, string(c)})
		}
		if slices.ContainsFunc(referenced, func(ref Ref) bool { return removed[ref] }) {
			problems = append(problems, s.checkEntryReferences(r)...)
		}
	}
	for k := range s.keys.all() {
		if removed[Ref{KindCustomer, string(k.Customer)}] {
			problems = append(problems, s.checkEntryReferences(k)...)
		}
	}
	slices.SortFunc(problems, func(a, b Problem) int {
		if c := CompareRefs(a.Ref, b.Ref); c != 0 {
			return c
		}
		return strings.Compare(a.Reason, b.Reason)
	})
	return slices.Compact(problems)
}
