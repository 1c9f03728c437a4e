package catalogue

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

// virtualHost is a request host that routes name.
type virtualHost struct {
	name string
	// groups counts the route groups of the host.
	groups int
}
