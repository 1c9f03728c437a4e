package routing

import (
	"net/url"
	"slices"
	"strings"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// maxSegments bounds the path segments that are looked up. A request with more
// segments is matched by the first maxSegments ones.
const maxSegments = 32

// Match returns the route that the request matches, or nil.
func Match(s *catalogue.Snapshot, request Request) *catalogue.Route {
	path, ok := canonicalPath(request.Path)
	if !ok {
		return nil
	}
	if host := canonicalHost(request.Host); s.NamesHost(host) {
		if route := matchHost(s, host, path, request.Method); route != nil {
			return route
		}
	}
	return matchHost(s, "", path, request.Method)
}

// Allows reports whether the customer may use the route.
func Allows(route *catalogue.Route, customer id.CustomerID) bool {
	if route.OpenToAll {
		return true
	}
	_, listed := slices.BinarySearch(route.Customers, customer)
	return listed
}

// matchHost tries every prefix of the path at one host, the longest first.
func matchHost(s *catalogue.Snapshot, host, path, method string) *catalogue.Route {
	for prefix := path; prefix != ""; prefix = prefix[:strings.LastIndexByte(prefix, '/')] {
		if route := matchMethod(s.RoutesAt(host, prefix), method); route != nil {
			return route
		}
	}
	return matchMethod(s.RoutesAt(host, "/"), method)
}

// matchMethod returns the route that lists the method, or else the one that matches all methods.
func matchMethod(routes []*catalogue.Route, method string) *catalogue.Route {
	var anyMethod *catalogue.Route
	for _, route := range routes {
		if len(route.Methods) == 0 {
			anyMethod = route
			continue
		}
		if slices.Contains(route.Methods, method) {
			return route
		}
	}
	return anyMethod
}

// canonicalPath returns the unescaped path without a trailing slash, cut to maxSegments;
// the root is the empty string. It reports false for a path that is not clean.
func canonicalPath(path string) (string, bool) {
	path, ok := unescape(path)
	if !ok || !catalogue.CleanPath(path) {
		return "", false
	}
	path = strings.TrimSuffix(path, "/")
	segments := 0
	for i := range len(path) {
		if path[i] != '/' {
			continue
		}
		if segments == maxSegments {
			return path[:i], true
		}
		segments++
	}
	return path, true
}

// unescape decodes the path. It rejects an escaped slash, because servers disagree on
// whether it separates segments and a route could be bypassed.
func unescape(path string) (string, bool) {
	if !strings.Contains(path, "%") {
		return path, true
	}
	if strings.Contains(strings.ToLower(path), "%2f") {
		return "", false
	}
	decoded, err := url.PathUnescape(path)
	return decoded, err == nil
}

// canonicalHost returns the host in lower case and without its port. It
// allocates only when the header has upper-case letters.
func canonicalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}
