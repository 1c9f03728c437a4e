package catalogue

import (
	"slices"
	"strings"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// builder applies entry edits to a copy of a snapshot.
type builder struct {
	base      *Snapshot
	hosts     *indexEditor[id.HostID, Host]
	services  *indexEditor[id.ServiceName, Service]
	routes    *indexEditor[id.RouteID, Route]
	customers *indexEditor[id.CustomerID, Customer]
	keys      *indexEditor[KeyID, Key]
	hashes    *indexEditor[*KeyHash, Key]
	groups    *indexEditor[point, RouteGroup]

	virtualHosts *indexEditor[string, virtualHost]
}

// newBuilder returns a builder that starts from the snapshot.
func newBuilder(s *Snapshot) *builder {
	return &builder{
		base:      s,
		hosts:     s.hosts.edit(),
		services:  s.services.edit(),
		routes:    s.routes.edit(),
		customers: s.customers.edit(),
		keys:      s.keys.edit(),
		hashes:    s.hashes.edit(),
		groups:    s.groups.edit(),

		virtualHosts: s.virtualHosts.edit(),
	}
}

// set inserts or replaces an entry.
func (b *builder) set(entry Entry) {
	switch e := entry.(type) {
	case *Host:
		b.hosts.set(e)
	case *Service:
		b.services.set(e)
	case *Route:
		b.removeRoute(e.ID)
		b.routes.set(e)
		b.regroup(pointOf(e), e.ID, e)
	case *Customer:
		b.customers.set(e)
	case *Key:
		b.keys.set(e)
		b.hashes.set(e)
	}
}

// remove deletes an entry. Keys are never deleted; see Apply.
func (b *builder) remove(ref Ref) {
	switch ref.Kind {
	case KindHost:
		b.hosts.remove(id.HostID(ref.ID))
	case KindService:
		b.services.remove(id.ServiceName(ref.ID))
	case KindRoute:
		b.removeRoute(id.RouteID(ref.ID))
	case KindCustomer:
		b.customers.remove(id.CustomerID(ref.ID))
	}
}

// removeRoute deletes a route and takes it out of its group.
func (b *builder) removeRoute(r id.RouteID) {
	old := b.routes.find(r)
	if old == nil {
		return
	}
	b.regroup(pointOf(old), r, nil)
	b.routes.remove(r)
}

// regroup replaces the route in the group at the point; a nil route removes it.
func (b *builder) regroup(p point, r id.RouteID, route *Route) {
	var routes []*Route
	group := b.groups.find(p)
	if group != nil {
		routes = slices.DeleteFunc(slices.Clone(group.Routes), func(x *Route) bool { return x.ID == r })
	}
	if route != nil {
		routes = append(routes, route)
	}
	if len(routes) == 0 {
		b.groups.remove(p)
		b.countHost(p.host, -1)
		return
	}
	b.groups.set(&RouteGroup{Host: p.host, PathPrefix: p.prefix, Routes: routes})
	if group == nil {
		b.countHost(p.host, 1)
	}
}

// countHost adjusts the number of groups of a request host.
func (b *builder) countHost(host string, by int) {
	if host == "" {
		return
	}
	groups := by
	if known := b.virtualHosts.find(host); known != nil {
		groups += known.groups
	}
	if groups <= 0 {
		b.virtualHosts.remove(host)
		return
	}
	b.virtualHosts.set(&virtualHost{name: host, groups: groups})
}

// done returns the new snapshot.
func (b *builder) done(revision Revision) *Snapshot {
	s := &Snapshot{
		revision:  revision,
		hosts:     b.hosts.done(),
		services:  b.services.done(),
		routes:    b.routes.done(),
		customers: b.customers.done(),
		keys:      b.keys.done(),
		hashes:    b.hashes.done(),
		groups:    b.groups.done(),

		virtualHosts: b.virtualHosts.done(),
		roster:       b.base.roster,
	}
	if b.hosts.changed {
		s.roster = slices.SortedFunc(s.hosts.all(), func(x, y *Host) int {
			return strings.Compare(string(x.ID), string(y.ID))
		})
	}
	return s
}
