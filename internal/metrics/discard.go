package metrics

import "time"

// Discard is a Scope whose metrics ignore all updates.
type Discard struct{}

// Counter implements Scope.
func (Discard) Counter(string, ...Label) Counter { return noop{} }

// Gauge implements Scope.
func (Discard) Gauge(string, ...Label) Gauge { return noop{} }

// Histogram implements Scope.
func (Discard) Histogram(string, []time.Duration, ...Label) Histogram { return noop{} }

// noop is a metric that ignores all updates.
type noop struct{}

func (noop) Inc(int64)                    {}
func (noop) Update(float64)               {}
func (noop) RecordDuration(time.Duration) {}
