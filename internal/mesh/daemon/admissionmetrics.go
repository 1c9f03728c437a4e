package daemon

import "buckthornlatch.example/buckthornlatch/internal/metrics"

// newReservedGauge creates the metric of the slots that are reserved for a group of classes.
func newReservedGauge(scope metrics.Scope, group string) metrics.Gauge {
	return scope.Gauge("slots_reserved", metrics.Label{Name: "for", Value: group})
}

// Refused implements gate.AdmissionMetrics.
func (m *meters) Refused(class, reason string) {
	m.counter("attempts_refused_total", metrics.Label{Name: "class", Value: class}, metrics.Label{Name: "reason", Value: reason}).Inc(1)
}

// Reserved implements gate.AdmissionMetrics.
func (m *meters) Reserved(nested, ranks int) {
	m.reservedNested.Update(float64(nested))
	m.reservedRanks.Update(float64(ranks))
}
