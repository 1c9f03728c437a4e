package catalogue

import (
	"slices"
	"strings"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// builder creates a snapshot by editing copies of another snapshot's indexes.
type builder struct {
	base      *Snapshot
	hosts     *indexEditor[id.HostID, Host]
	services  *indexEditor[id.ServiceName, Service]
	routes    *indexEditor[id.RouteID, Route]
	customers *indexEditor[id.CustomerID, Customer]
	keys      *indexEditor[KeyID, Key]
	hashes    *indexEditor[*KeyHash, Key]
	groups    *indexEditor[groupKey, RouteGroup]

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
		b.updateGroup(groupKeyOf(e), e.ID, e)
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

// removeRoute deletes a route, also from its group.
func (b *builder) removeRoute(r id.RouteID) {
	old := b.routes.find(r)
	if old == nil {
		return
	}
	b.updateGroup(groupKeyOf(old), r, nil)
	b.routes.remove(r)
}

// updateGroup replaces the route with the id in the group; a nil route removes it.
func (b *builder) updateGroup(key groupKey, r id.RouteID, route *Route) {
	var routes []*Route
	group := b.groups.find(key)
	if group != nil {
		routes = slices.DeleteFunc(slices.Clone(group.Routes), func(x *Route) bool { return x.ID == r })
	}
	if route != nil {
		routes = append(routes, route)
	}
	if len(routes) == 0 {
		b.groups.remove(key)
		b.adjustGroupCount(key.host, -1)
		return
	}
	b.groups.set(&RouteGroup{Host: key.host, PathPrefix: key.prefix, Routes: routes})
	if group == nil {
		b.adjustGroupCount(key.host, 1)
	}
}

// adjustGroupCount adds by to the number of route groups of a request host.
func (b *builder) adjustGroupCount(host string, by int) {
	if host == "" {
		return
	}
	groups := by
	if current := b.virtualHosts.find(host); current != nil {
		groups += current.groups
	}
	if groups <= 0 {
		b.virtualHosts.remove(host)
		return
	}
	b.virtualHosts.set(&virtualHost{name: host, groups: groups})
}

// build returns the new snapshot.
func (b *builder) build(revision Revision) *Snapshot {
	s := &Snapshot{
		revision:  revision,
		hosts:     b.hosts.finish(),
		services:  b.services.finish(),
		routes:    b.routes.finish(),
		customers: b.customers.finish(),
		keys:      b.keys.finish(),
		hashes:    b.hashes.finish(),
		groups:    b.groups.finish(),

		virtualHosts: b.virtualHosts.finish(),
		roster:       b.base.roster,
	}
	if b.hosts.changed {
		s.roster = slices.SortedFunc(s.hosts.all(), func(x, y *Host) int {
			return strings.Compare(string(x.ID), string(y.ID))
		})
	}
	return s
}
