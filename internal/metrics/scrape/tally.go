package scrape

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"buckthornlatch.example/buckthornlatch/internal/metrics"
)

// prefix is prepended to the name of every metric.
const prefix = "buckthornlatch"

// New returns an exporter with a registry of its own, so that several daemons can run in one process.
func New() (*Exporter, error) {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	// No sanitizer is set: tally's sanitizer for Prometheus would map the services "a-b" and "a_b" to one series.
	root, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              tallyprometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, ReportPeriod)
	return &Exporter{Scope: scope{root}, Handler: reporter.HTTPHandler(), closer: closer}, nil
}

// scope implements metrics.Scope.
type scope struct {
	root tally.Scope
}

// Counter implements metrics.Scope.
func (s scope) Counter(name string, labels ...metrics.Label) metrics.Counter {
	return s.tagged(labels).Counter(name)
}

// Gauge implements metrics.Scope.
func (s scope) Gauge(name string, labels ...metrics.Label) metrics.Gauge {
	return s.tagged(labels).Gauge(name)
}

// Histogram implements metrics.Scope.
func (s scope) Histogram(name string, bounds []time.Duration, labels ...metrics.Label) metrics.Histogram {
	return s.tagged(labels).Histogram(name, tally.DurationBuckets(bounds))
}

// tagged returns the scope with the labels added.
func (s scope) tagged(labels []metrics.Label) tally.Scope {
	if len(labels) == 0 {
		return s.root
	}
	tags := make(map[string]string, len(labels))
	for _, l := range labels {
		tags[l.Name] = l.Value
	}
	return s.root.Tagged(tags)
}
