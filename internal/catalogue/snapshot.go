package catalogue

import (
	"slices"
	"strings"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Snapshot is the catalogue at one revision. It is immutable and safe for
// concurrent use; the entries that it returns must not be modified.
type Snapshot struct {
	revision  Revision
	hosts     index[id.HostID, Host]
	services  index[id.ServiceName, Service]
	routes    index[id.RouteID, Route]
	customers index[id.CustomerID, Customer]
	keys      index[KeyID, Key]
	hashes    index[*KeyHash, Key]
	groups    index[groupKey, RouteGroup]
	// virtualHosts holds the request hosts that routes name.
	virtualHosts index[string, virtualHost]
	// roster holds the hosts sorted by id.
	roster []*Host
	// rosterRevision is the revision of the last change of the roster, and
	// previousRoster that of the change before; zero when there was none.
	rosterRevision, previousRoster Revision
	// customerRemoval is the revision of the last removal of a customer; zero when there was none.
	customerRemoval Revision
}

// Empty returns the catalogue at revision zero.
func Empty() *Snapshot {
	return &Snapshot{
		hosts:     newIndex(hostSpec),
		services:  newIndex(serviceSpec),
		routes:    newIndex(routeSpec),
		customers: newIndex(customerSpec),
		keys:      newIndex(keySpec),
		hashes:    newIndex(hashSpec),
		groups:    newIndex(groupSpec),

		virtualHosts: newIndex(virtualHostSpec),
	}
}

// Revision returns the revision of the last change that the snapshot contains.
func (s *Snapshot) Revision() Revision { return s.revision }

// Host returns the host slot, or nil.
func (s *Snapshot) Host(h id.HostID) *Host { return s.hosts.find(h) }

// Service returns the service, or nil.
func (s *Snapshot) Service(name id.ServiceName) *Service { return s.services.find(name) }

// Route returns the route, or nil.
func (s *Snapshot) Route(r id.RouteID) *Route { return s.routes.find(r) }

// Customer returns the customer, or nil.
func (s *Snapshot) Customer(c id.CustomerID) *Customer { return s.customers.find(c) }

// Key returns the key with the public id, revoked ones included, or nil.
func (s *Snapshot) Key(k KeyID) *Key { return s.keys.find(k) }

// KeyByHash returns the key with the hash, revoked ones included, or nil.
// Use apikey.Verify to check a caller's key.
func (s *Snapshot) KeyByHash(h *KeyHash) *Key { return s.hashes.find(h) }

// RoutesAt returns the routes of exactly this request host and path prefix, or
// nil. An empty host stands for the routes that match every host.
func (s *Snapshot) RoutesAt(host, pathPrefix string) []*Route {
	group := s.groups.find(groupKey{host: host, prefix: pathPrefix})
	if group == nil {
		return nil
	}
	return group.Routes
}

// NamesHost reports whether any route is restricted to the request host.
func (s *Snapshot) NamesHost(host string) bool { return s.virtualHosts.find(host) != nil }

// Roster returns all host slots sorted by id. The slice must not be modified.
func (s *Snapshot) Roster() []*Host { return s.roster }

// RosterRevisions returns the revisions of the last change of the roster and of
// the change before; zero when there was none. A change of a host's owner or class does
// not change the roster.
func (s *Snapshot) RosterRevisions() (last, previous Revision) {
	return s.rosterRevision, s.previousRoster
}

// CustomerRemoval returns the revision of the last removal of a customer; zero
// when there was none.
func (s *Snapshot) CustomerRemoval() Revision { return s.customerRemoval }

// Services returns all services sorted by name.
func (s *Snapshot) Services() []*Service {
	return slices.SortedFunc(s.services.all(), func(a, b *Service) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
}

// Size returns the number of entries of a kind.
func (s *Snapshot) Size(kind Kind) int {
	switch kind {
	case KindHost:
		return s.hosts.size
	case KindService:
		return s.services.size
	case KindRoute:
		return s.routes.size
	case KindCustomer:
		return s.customers.size
	case KindKey:
		return s.keys.size
	default:
		return 0
	}
}
