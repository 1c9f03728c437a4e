package daemon

import (
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/routing"
)

// router looks up routes, services and customers in the current catalogue, for the entry and the
// gate.
type router struct {
	catalogue snapshotSource
}

// Match implements entry.Router.
func (r *router) Match(method, host, path string) (catalogue.Route, catalogue.Service, bool) {
	snapshot := r.catalogue.Snapshot()
	route := routing.Match(snapshot, routing.Request{Host: host, Method: method, Path: path})
	if route == nil {
		return catalogue.Route{}, catalogue.Service{}, false
	}
	service := snapshot.Service(route.Service)
	if service == nil {
		return catalogue.Route{}, catalogue.Service{}, false
	}
	return *route, *service, true
}

// ListsCustomer implements entry.Router.
func (r *router) ListsCustomer(route id.RouteID, customer id.CustomerID) bool {
	found := r.catalogue.Snapshot().Route(route)
	return found != nil && routing.Allows(found, customer)
}

// Service implements gate.Catalogue.
func (r *router) Service(name id.ServiceName) (catalogue.Service, bool) {
	service := r.catalogue.Snapshot().Service(name)
	if service == nil {
		return catalogue.Service{}, false
	}
	return *service, true
}

// Weight implements gate.Catalogue.
func (r *router) Weight(customer id.CustomerID) int {
	found := r.catalogue.Snapshot().Customer(customer)
	if found == nil {
		return 1
	}
	return max(1, found.Weight)
}
