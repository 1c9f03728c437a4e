// Package ejection decides which targets a gate takes out of service (outlier
// detection).
//
// A Detector is the outlier detector of one gate. It evaluates the gate's own targets
// by their real work: errors, latency compared with the service's other targets,
// requests that do not end, stalled new connections and refused connections.
// Errors caused by the request and failures of the path from an entry to the
// gate do not count. Observations are summed as log likelihood ratios (CUSUM),
// with the rest of the service as the baseline, so that no target is an outlier
// when the service is slow or failing as a whole.
//
// A target whose score reaches a threshold becomes suspect: it keeps work at a
// lower weight. It is ejected only under a permit from the service's Home, which
// grants at most n - ceil(floor*n) permits at once. After a backoff that doubles
// with every relapse, an ejected target gets single idempotent trial requests,
// and returns to service with slow start.
//
// Failure behaviour: a permit is a lease on the gate's own clock, counted from
// before the request was sent; when it ends, for whatever reason, the target
// is back in service. Without a reachable home nothing is ejected.
//
// The package does no I/O. Detector and Home are not safe for concurrent use.
package ejection
