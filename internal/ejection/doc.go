// Package ejection decides which targets a gate keeps out of service.
//
// A Judge belongs to one gate. It judges the gate's own targets by their real
// work: errors, latency against the service's other targets, requests that
// never end, silent new connections and refused connections. Errors that
// depend on the request are no evidence, and neither is the path from an entry
// to the gate. Evidence is summed (CUSUM) and compared with what the rest of
// the service shows, so that a service that is slow or failing as a whole
// blames none of its targets.
//
// A target with too much evidence is a suspect: it keeps its work at a lower
// weight. It is ejected only under a permit from the service's Home, which
// grants at most n - ceil(floor*n) permits at once. After a hold that grows
// with every relapse, an ejected target gets single idempotent trial requests
// and returns with a slow ramp.
//
// Failure behaviour: a permit is a lease on the gate's own clock, counted from
// before the request was sent; when it ends, for whatever reason, the target
// is back in service. Without a reachable home nothing is ejected.
//
// The package does no I/O. Judge and Home are not safe for concurrent use.
package ejection
