package metrics

import "time"

// Discard is a Scope that keeps nothing.
type Discard struct{}

// Counter implements Scope.
func (Discard) Counter(string, ...Label) Counter { return discarded{} }

// Gauge implements Scope.
func (Discard) Gauge(string, ...Label) Gauge { return discarded{} }

// Histogram implements Scope.
func (Discard) Histogram(string, []time.Duration, ...Label) Histogram { return discarded{} }

// discarded is a metric that keeps nothing.
type discarded struct{}

func (discarded) Inc(int64)                    {}
func (discarded) Update(float64)               {}
func (discarded) RecordDuration(time.Duration) {}
