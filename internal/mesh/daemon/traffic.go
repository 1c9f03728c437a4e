package daemon

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/mesh/traffic"
	"buckthornlatch.example/buckthornlatch/internal/metrics"
)

// trafficLogInterval is the least time between two log lines about the traffic.
const trafficLogInterval = time.Minute

// trafficReport publishes the traffic with other hosts as metrics and in the log.
type trafficReport struct {
	meter  *traffic.Meter
	events zerolog.Logger
	// counters holds the metrics by purpose.
	counters []trafficCounters

	mu sync.Mutex
	// published and logged are the totals of the last update of the metrics and of the last log line.
	published, logged traffic.Totals
	loggedAt          clock.Time
}

// newTrafficReport returns the report of a meter.
func newTrafficReport(meter *traffic.Meter, scope metrics.Scope, events zerolog.Logger) *trafficReport {
	t := &trafficReport{meter: meter, events: events}
	for _, p := range traffic.Purposes() {
		t.counters = append(t.counters, newTrafficCounters(scope, p))
	}
	return t
}

// update publishes the metrics and logs the totals if these have changed and the last line is old enough.
func (t *trafficReport) update(now clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.meter.Cross()
	for _, p := range traffic.Purposes() {
		t.counters[p].add(current[p].Sub(t.published[p]))
	}
	t.published = current
	if t.loggedAt == 0 {
		t.loggedAt = now
	}
	if current != t.logged && now.Sub(t.loggedAt) >= trafficLogInterval {
		t.loggedAt = now
		t.write(current)
	}
}

// log logs the totals.
func (t *trafficReport) log() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.write(t.meter.Cross())
}

// write logs the totals of each purpose since the start, between failure domains and within the own one. The caller must
// hold t.mu.
func (t *trafficReport) write(cross traffic.Totals) {
	t.logged = cross
	line := func(totals traffic.Totals) *zerolog.Event {
		all := zerolog.Dict()
		for _, p := range traffic.Purposes() {
			c := totals[p]
			all.Dict(p.String(), zerolog.Dict().Int64("calls", c.Calls).Int64("sent", c.Sent).Int64("received", c.Received))
		}
		return all
	}
	t.events.Info().Dict("cross", line(cross)).Dict("within", line(t.meter.Within())).Msg("daemon: bytes exchanged with other hosts")
}

// trafficCounters are the metrics of one purpose.
type trafficCounters struct {
	calls, sent, received metrics.Counter
}

// newTrafficCounters creates the metrics of a purpose.
func newTrafficCounters(scope metrics.Scope, p traffic.Purpose) trafficCounters {
	purpose := metrics.Label{Name: "purpose", Value: p.String()}
	return trafficCounters{
		calls:    scope.Counter("cross_domain_calls_total", purpose),
		sent:     scope.Counter("cross_domain_bytes_total", purpose, metrics.Label{Name: "direction", Value: "sent"}),
		received: scope.Counter("cross_domain_bytes_total", purpose, metrics.Label{Name: "direction", Value: "received"}),
	}
}

// add counts more traffic.
func (c trafficCounters) add(more traffic.Count) {
	c.calls.Inc(more.Calls)
	c.sent.Inc(more.Sent)
	c.received.Inc(more.Received)
}
