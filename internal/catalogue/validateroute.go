package catalogue

import (
	"slices"
	"strings"
)

// route checks a route.
func (v *validator) route(r *Route) {
	v.meta(r.Meta, "id", string(r.ID))
	v.name("service", string(r.Service))
	if r.Host != "" {
		v.name("host", r.Host)
	}
	v.pathPrefix(r.PathPrefix)
	v.methods(r.Methods)
	v.routeCustomers(r)
}

// pathPrefix checks that the prefix has the form that request paths are matched against.
func (v *validator) pathPrefix(prefix string) {
	const key = "path_prefix"
	switch {
	case !strings.HasPrefix(prefix, "/"):
		v.add(key, "must begin with \"/\"")
	case len(prefix) > MaxPathPrefixLength:
		v.add(key, "is longer than %d bytes", MaxPathPrefixLength)
	case prefix != "/" && !CleanPath(prefix+"/"):
		v.add(key, "has an empty, \".\" or \"..\" segment, a query or a control character")
	case prefix != "/" && strings.HasSuffix(prefix, "/"):
		v.add(key, "must not end with \"/\"")
	}
}

// CleanPath reports whether an unescaped request path can be matched: it begins
// with "/" and has no control character, no backslash and no empty (except the
// last), "." or ".." segment. Targets might resolve such paths to a path of
// another route.
func CleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	for rest := path[1:]; rest != ""; {
		segment, after, more := strings.Cut(rest, "/")
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
		if strings.ContainsFunc(segment, isForbiddenInPath) {
			return false
		}
		if !more {
			return true
		}
		rest = after
	}
	return true
}

// isForbiddenInPath reports whether c is a control character or a backslash,
// which some servers treat like "/".
func isForbiddenInPath(c rune) bool {
	return c < ' ' || c == 0x7f || c == '\\'
}

// methods checks the method list.
func (v *validator) methods(methods []string) {
	const key = "methods"
	if len(methods) > MaxRouteMethods {
		v.add(key, "has more than %d methods", MaxRouteMethods)
		return
	}
	for i, m := range methods {
		if m == "" || len(m) > MaxNameLength || strings.ContainsFunc(m, func(c rune) bool { return c < 'A' || c > 'Z' }) {
			v.add(key, "%q is not an upper-case method name", m)
		}
		if slices.Contains(methods[:i], m) {
			v.add(key, "lists %q twice", m)
		}
	}
}

// routeCustomers checks the list of customers that may use the route.
func (v *validator) routeCustomers(r *Route) {
	const key = "customers"
	switch {
	case r.OpenToAll && len(r.Customers) > 0:
		v.add(key, "must be empty on a route that is open to all")
	case !r.OpenToAll && len(r.Customers) == 0:
		v.add(key, "must list customers, or open_to_all must be true")
	case len(r.Customers) > MaxRouteCustomers:
		v.add(key, "has more than %d customers", MaxRouteCustomers)
	}
	if !slices.IsSorted(r.Customers) {
		v.add(key, "must be sorted")
	}
	for i, c := range r.Customers {
		v.name(key, string(c))
		if i > 0 && r.Customers[i-1] == c {
			v.add(key, "lists %q twice", c)
		}
	}
}
