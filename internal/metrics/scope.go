package metrics

import "time"

// Scope creates metrics. All metrics of one name must have the same label names.
type Scope interface {
	Counter(name string, labels ...Label) Counter
	Gauge(name string, labels ...Label) Gauge
	// Histogram counts durations in buckets with the given upper bounds.
	Histogram(name string, bounds []time.Duration, labels ...Label) Histogram
}

// Label is one dimension of a metric.
type Label struct {
	Name, Value string
}

// Counter is a value that only increases.
type Counter interface {
	Inc(delta int64)
}

// Gauge is a value that can go up and down.
type Gauge interface {
	Update(value float64)
}

// Histogram counts durations in buckets.
type Histogram interface {
	RecordDuration(d time.Duration)
}
