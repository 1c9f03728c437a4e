package daemon

import (
	"strconv"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/connlimit"
	"buckthornlatch.example/buckthornlatch/internal/mesh/memaccount"
	"buckthornlatch.example/buckthornlatch/internal/metrics"
)

// latencyBuckets are the upper bounds of the histogram buckets for latencies. The goal for the latency that the fleet
// adds is 1.7 ms.
var latencyBuckets = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
	10 * time.Second, 30 * time.Second,
}

// meters holds the daemon's metrics. Label values come from fixed sets (status classes, refusal codes, verdicts and
// reasons) and never from callers.
type meters struct {
	scope        metrics.Scope
	counters     sync.Map
	latency      metrics.Histogram
	gateWait     metrics.Histogram
	targetWork   metrics.Histogram
	repeats      metrics.Counter
	droppedLines metrics.Gauge
	inFlight     inFlight
	// heldBytes and heldConns show what the connections of each owner hold.
	heldBytes, heldConns map[memaccount.Owner]metrics.Gauge

	// endedMu guards ended, which counts refusals and ended connections since they were logged last.
	endedMu sync.Mutex
	ended   map[endedKey]int64

	policiesRejected metrics.Counter
	policyWarnings   metrics.Gauge
	recordsIgnored   metrics.Counter
	evacuated        metrics.Gauge
	targetCold       metrics.Gauge

	reservedNested metrics.Gauge
	reservedRanks  metrics.Gauge
}

// newMeters creates the metrics.
func newMeters(scope metrics.Scope) *meters {
	m := &meters{
		scope:        scope,
		latency:      scope.Histogram("request_latency_seconds", latencyBuckets),
		gateWait:     scope.Histogram("gate_wait_seconds", latencyBuckets),
		targetWork:   scope.Histogram("target_work_seconds", latencyBuckets),
		repeats:      scope.Counter("repeats_total"),
		droppedLines: scope.Gauge("log_lines_lost"),
		inFlight:     inFlight{gauge: scope.Gauge("requests_in_flight")},

		policiesRejected: scope.Counter("policies_rejected_total"),
		policyWarnings:   scope.Gauge("policy_warnings"),
		recordsIgnored:   scope.Counter("host_records_ignored_total"),
		evacuated:        scope.Gauge("failure_domains_evacuated"),
		targetCold:       scope.Gauge("target_cold"),

		reservedNested: newReservedGauge(scope, "nested"),
		reservedRanks:  newReservedGauge(scope, "ranks"),

		heldBytes: map[memaccount.Owner]metrics.Gauge{}, heldConns: map[memaccount.Owner]metrics.Gauge{},
	}
	for _, owner := range memaccount.Owners {
		label := metrics.Label{Name: "owner", Value: owner.String()}
		m.heldBytes[owner], m.heldConns[owner] = scope.Gauge("connection_memory_bytes", label), scope.Gauge("connections", label)
	}
	return m
}

// endedKey identifies refusals and ended connections.
type endedKey struct {
	owner  memaccount.Owner
	reason connlimit.Reason
}

// connEnded counts a refusal by the limits of connections, or the end of a connection.
func (m *meters) connEnded(owner memaccount.Owner, reason connlimit.Reason) {
	m.counter("connections_refused_total", metrics.Label{Name: "owner", Value: owner.String()}, metrics.Label{Name: "reason", Value: string(reason)}).Inc(1)
	m.endedMu.Lock()
	defer m.endedMu.Unlock()
	if m.ended == nil {
		m.ended = map[endedKey]int64{}
	}
	m.ended[endedKey{owner: owner, reason: reason}]++
}

// takeEnded returns what was counted since the last call.
func (m *meters) takeEnded() map[endedKey]int64 {
	m.endedMu.Lock()
	defer m.endedMu.Unlock()
	ended := m.ended
	m.ended = nil
	return ended
}

// setHeld sets what the connections of an owner hold.
func (m *meters) setHeld(owner memaccount.Owner, held memaccount.Bound) {
	m.heldBytes[owner].Update(float64(held.Bytes))
	m.heldConns[owner].Update(float64(held.Conns))
}

// counterKey identifies a counter with two labels.
type counterKey struct {
	name          string
	first, second metrics.Label
}

// counter returns a counter with two labels. Counters are cached, because the scope builds a name from maps in each
// call.
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

// setDroppedLines sets the number of log lines that were dropped because of a slow reader.
func (m *meters) setDroppedLines(lines int64) { m.droppedLines.Update(float64(lines)) }

// setEvacuated sets the number of evacuated failure domains.
func (m *meters) setEvacuated(domains int) { m.evacuated.Update(float64(domains)) }

// setCold sets whether the starts at the target are bounded because it is cold.
func (m *meters) setCold(cold bool) {
	value := 0.0
	if cold {
		value = 1
	}
	m.targetCold.Update(value)
}

// Repeat implements entry.Metrics.
func (m *meters) Repeat() { m.repeats.Inc(1) }

// PolicyRejected implements statesync.Metrics.
func (m *meters) PolicyRejected() { m.policiesRejected.Inc(1) }

// PolicyWarnings implements statesync.Metrics.
func (m *meters) PolicyWarnings(parts int) { m.policyWarnings.Update(float64(parts)) }

// RecordIgnored implements statesync.Metrics.
func (m *meters) RecordIgnored() { m.recordsIgnored.Inc(1) }

// Begin implements entry.Metrics.
func (m *meters) Begin() { m.inFlight.add(1) }

// End implements entry.Metrics.
func (m *meters) End() { m.inFlight.add(-1) }

// Attempt implements gate.Metrics.
func (m *meters) Attempt(verdict, reason string, waited, worked time.Duration) {
	m.counter("attempts_total", metrics.Label{Name: "verdict", Value: verdict}, metrics.Label{Name: "reason", Value: reason}).Inc(1)
	m.gateWait.RecordDuration(waited)
	m.targetWork.RecordDuration(worked)
}
