package policycheck

import (
	"slices"
	"strings"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

// unmatched finds entries that no request can match or use. A route whose services are all unknown or without a weight is an
// error already, as is the later one of two routes with the same host and prefix.
func (l *list) unmatched(d policy.Document, env Environment) {
	l.shadowedRoutes(d.Routes)
	used := map[id.ServiceName]bool{}
	for i := range d.Routes {
		r := &d.Routes[i]
		item := routeItem(r.ID)
		for _, part := range r.Services {
			used[part.Service] = true
			if part.Weight == 0 && slices.Contains(d.Services, string(part.Service)) {
				l.add(Unmatched, item, "service %q has weight 0 and gets no request", part.Service)
			}
		}
		if isImpossiblePath(r.Prefix) {
			l.add(Unmatched, item, "prefix %q has characters that the path of a request cannot have", r.Prefix)
		}
		l.regions(item, r.Regions, env.Settings)
	}
	for _, name := range d.Services {
		if !used[id.ServiceName(name)] {
			l.add(Unmatched, "service "+name, "no route uses it")
		}
	}
	for i := range d.Customers {
		c := &d.Customers[i]
		if len(c.Keys) == 0 {
			l.add(Unmatched, customerItem(c.ID), "it has no key, so that no request belongs to it")
		}
		l.regions(customerItem(c.ID), c.Regions, env.Settings)
		l.excludedRoutes(c, d.Routes, env.Settings)
	}
}

// shadowedRoutes finds routes with the same host and prefix. policy.Build warns of the later ones only, and serves none.
func (l *list) shadowedRoutes(routes []policy.Route) {
	byLocation := map[string][]id.RouteID{}
	for i := range routes {
		at := location(&routes[i])
		byLocation[at] = append(byLocation[at], routes[i].ID)
	}
	for at, names := range byLocation {
		if len(names) < 2 {
			continue
		}
		slices.Sort(names)
		l.add(Unmatched, routeItem(names[0]), "route %s has the same host and prefix %s; neither is served", names[1], at)
	}
}

// isImpossiblePath reports whether the path of a request cannot begin with a prefix: a path ends at a question mark, and the
// request line at a space or a control character.
func isImpossiblePath(prefix string) bool {
	return strings.ContainsFunc(prefix, func(r rune) bool { return r == '?' || r <= ' ' || r == 0x7f })
}

// regions finds allowed regions in which there is no host.
func (l *list) regions(item string, allowed policy.Regions, settings *Settings) {
	if allowed.None() {
		l.add(Unmatched, item, "its list of allowed regions is empty, so that its requests are refused")
	}
	if settings == nil {
		return
	}
	for _, name := range allowed.Names() {
		if !settings.has(name) {
			l.add(Unmatched, item, "no failure domain of the settings is in the allowed region %q", name)
		}
	}
}

// excludedRoutes finds routes that a customer's allowed regions exclude. Requests of public routes belong to no customer.
func (l *list) excludedRoutes(c *policy.Customer, routes []policy.Route, settings *Settings) {
	if !c.Regions.Limited() || c.Regions.None() {
		return
	}
	for i := range routes {
		r := &routes[i]
		if r.Public || !r.Regions.Limited() || r.Regions.None() {
			continue
		}
		common := c.Regions.And(r.Regions)
		switch {
		case common.None():
			l.add(Unmatched, customerItem(c.ID), "no region is allowed to both it and route %s; its requests there are refused", r.ID)
		case settings != nil && !slices.ContainsFunc(common.Names(), settings.has):
			l.add(Unmatched, customerItem(c.ID),
				"no failure domain of the settings is in a region that is allowed to both it and route %s; its requests there are refused", r.ID)
		}
	}
}
