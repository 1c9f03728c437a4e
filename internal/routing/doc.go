// Package routing decides which route of a catalogue snapshot a request
// matches and whether a customer may use it.
//
// Precedence: routes that name the request host come before routes for every
// host, a longer path prefix before a shorter one, and a route that lists the
// method before one that matches all methods. A prefix matches whole path
// segments. The cost grows with the number of path segments, not with the
// number of routes. Requests whose path is not clean (see catalogue.CleanPath)
// match nothing. The package does no I/O and keeps no state.
package routing
