// Package metrics counts what a daemon does, for scraping by Prometheus. docs/metrics.md lists every metric.
//
// Every label has a fixed set of values: route class, refusal code, verdict, decision, control service and
// result, and at most MaxServices service names. No label or value comes from a customer, a target, a key or a
// path, so that the output stays small and carries no secret.
//
// All metrics are created at startup, except those of services, which are created at first use. Counting never
// fails and never blocks on a scrape. The names come from a Scope; Discard is the Scope without an exporter.
package metrics
