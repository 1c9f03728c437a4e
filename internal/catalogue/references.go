package catalogue

import (
	"slices"
	"strings"
)

// References checks, after a change to the entries named by refs, that every
// entry that they name or that names them still exists, and that no two routes
// match the same requests. It returns every problem found.
func (s *Snapshot) References(refs []Ref) []Problem {
	var problems []Problem
	removed := map[Ref]bool{}
	for _, ref := range refs {
		entry := s.Entry(ref)
		if entry == nil {
			removed[ref] = true
			continue
		}
		problems = append(problems, s.outgoing(entry)...)
	}
	return append(problems, s.dangling(removed)...)
}

// outgoing checks the entries that an entry names.
func (s *Snapshot) outgoing(entry Entry) []Problem {
	v := &validator{ref: entry.Ref()}
	switch e := entry.(type) {
	case *Route:
		s.routeReferences(v, e)
	case *Key:
		if s.Customer(e.Customer) == nil && !e.Revoked {
			v.add("customer", "%q does not exist", e.Customer)
		}
	}
	return v.problems
}

// routeReferences checks what a route names and that it is not ambiguous.
func (s *Snapshot) routeReferences(v *validator, r *Route) {
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

// methodsOverlap reports whether two method lists match a common method at
// equal precedence: a listed method precedes a route that matches all.
func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

// dangling finds entries that name a removed one.
func (s *Snapshot) dangling(removed map[Ref]bool) []Problem {
	if len(removed) == 0 {
		return nil
	}
	var problems []Problem
	for r := range s.routes.all() {
		named := []Ref{{KindService, string(r.Service)}}
		for _, c := range r.Customers {
			named = append(named, Ref{KindCustomer, string(c)})
		}
		if slices.ContainsFunc(named, func(ref Ref) bool { return removed[ref] }) {
			problems = append(problems, s.outgoing(r)...)
		}
	}
	for k := range s.keys.all() {
		if removed[Ref{KindCustomer, string(k.Customer)}] {
			problems = append(problems, s.outgoing(k)...)
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
