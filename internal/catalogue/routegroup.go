package catalogue

import "strings"

// point is the place in request space at which routes apply.
type point struct {
	host   string
	prefix string
}

// RouteGroup holds the routes of one host and path prefix; they differ in their methods.
type RouteGroup struct {
	// Host is the request host; empty for every host.
	Host       string
	PathPrefix string
	Routes     []*Route
}

// pointOf returns the point of a route.
func pointOf(r *Route) point {
	return point{host: r.Host, prefix: r.PathPrefix}
}

// comparePoint orders a group against a point.
func comparePoint(g *RouteGroup, p point) int {
	if c := strings.Compare(g.PathPrefix, p.prefix); c != 0 {
		return c
	}
	return strings.Compare(g.Host, p.host)
}
