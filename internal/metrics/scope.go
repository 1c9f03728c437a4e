package metrics

import "time"

// Scope creates metrics. The same name is always used with the same label names.
type Scope interface {
	Counter(name string, labels ...Label) Counter
	Gauge(name string, labels ...Label) Gauge
	// Histogram counts durations by the upper bounds given.
	Histogram(name string, bounds []time.Duration, labels ...Label) Histogram
}

// Label is one dimension of a metric.
type Label struct {
	Name, Value string
}

// Counter only grows.
type Counter interface {
	Inc(delta int64)
}

// Gauge is the last value.
type Gauge interface {
	Update(value float64)
}

// Histogram is a distribution of durations.
type Histogram interface {
	RecordDuration(d time.Duration)
}
