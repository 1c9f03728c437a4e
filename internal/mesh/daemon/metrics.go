package daemon

import (
	"strconv"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/metrics"
)

// latencyBounds are the upper bounds of latencies; the added latency that the fleet aims at is 1.7 ms.
var latencyBounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
	10 * time.Second, 30 * time.Second,
}

// meters count what the daemon does. Label values come from fixed sets: status classes, refusal codes, verdicts and
// reasons, never from callers.
type meters struct {
	scope    metrics.Scope
	counters sync.Map
	latency  metrics.Histogram
	waited   metrics.Histogram
	worked   metrics.Histogram
	repeats  metrics.Counter
	lost     metrics.Gauge
	inFlight inFlight
}

// newMeters creates the metrics.
func newMeters(scope metrics.Scope) *meters {
	return &meters{
		scope:    scope,
		latency:  scope.Histogram("request_latency_seconds", latencyBounds),
		waited:   scope.Histogram("gate_wait_seconds", latencyBounds),
		worked:   scope.Histogram("target_work_seconds", latencyBounds),
		repeats:  scope.Counter("repeats_total"),
		lost:     scope.Gauge("log_lines_lost"),
		inFlight: inFlight{gauge: scope.Gauge("requests_in_flight")},
	}
}

// counterKey names a counter with two labels.
type counterKey struct {
	name          string
	first, second metrics.Label
}

// counter returns a counter with two labels. The scope would build its name from maps for each request.
func (m *meters) counter(name string, first, second metrics.Label) metrics.Counter {
	key := counterKey{name: name, first: first, second: second}
	if known, ok := m.counters.Load(key); ok {
		return known.(metrics.Counter)
	}
	created, _ := m.counters.LoadOrStore(key, m.scope.Counter(name, first, second))
	return created.(metrics.Counter)
}

// Request implements entry.Metrics.
func (m *meters) Request(status int, code string, took time.Duration) {
	class := "gone"
	if status > 0 {
		class = strconv.Itoa(status/100) + "xx"
	}
	m.counter("requests_total", metrics.Label{Name: "status", Value: class}, metrics.Label{Name: "code", Value: code}).Inc(1)
	m.latency.RecordDuration(took)
}

// setLost sets the number of log lines that a slow reader has cost.
func (m *meters) setLost(lines int64) { m.lost.Update(float64(lines)) }

// Repeat implements entry.Metrics.
func (m *meters) Repeat() { m.repeats.Inc(1) }

// Begin implements entry.Metrics.
func (m *meters) Begin() { m.inFlight.add(1) }

// End implements entry.Metrics.
func (m *meters) End() { m.inFlight.add(-1) }

// Attempt implements gate.Metrics.
func (m *meters) Attempt(verdict, reason string, waited, worked time.Duration) {
	m.counter("attempts_total", metrics.Label{Name: "verdict", Value: verdict}, metrics.Label{Name: "reason", Value: reason}).Inc(1)
	m.waited.RecordDuration(waited)
	m.worked.RecordDuration(worked)
}
