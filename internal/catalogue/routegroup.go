package catalogue

// groupKey identifies a route group by its request host and path prefix.
type groupKey struct {
	host   string
	prefix string
}

// RouteGroup holds the routes of one request host and path prefix; they differ in their methods.
type RouteGroup struct {
	// Host is the request host; empty for every host.
	Host       string
	PathPrefix string
	Routes     []*Route
}

// groupKeyOf returns the key of the group that a route belongs to.
func groupKeyOf(r *Route) groupKey {
	return groupKey{host: r.Host, prefix: r.PathPrefix}
}

// virtualHost is a request host that at least one route names.
type virtualHost struct {
	name string
	// groups counts the route groups of the host.
	groups int
}
