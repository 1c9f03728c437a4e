// Package metrics defines the metrics of a daemon. docs/metrics.md lists every metric.
//
// Every label has a bounded set of values: fixed lists, and at most MaxServices service names. Names of customers
// and targets, keys and request paths are never used as label values, which bounds the cardinality and keeps
// secrets out of the output.
//
// All metrics are created at startup, except those of services, which are created at first use. Updating a metric
// never fails and never waits for a scrape. A Scope creates the metrics; Discard is the Scope for use without an
// exporter.
package metrics
