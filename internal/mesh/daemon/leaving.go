package daemon

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/metrics"
)

const (
	// leavingLogInterval is the least time between two log lines about changed shares.
	leavingLogInterval = 10 * time.Second
	// loggedLeavingChange is the change of a service's share that is logged.
	loggedLeavingChange = 0.5
)

// leavingReport publishes which share of the attempts may leave the failure domain. It is used by one goroutine.
type leavingReport struct {
	scope    metrics.Scope
	events   zerolog.Logger
	services map[id.ServiceName]*leavingMetrics
	loggedAt clock.Time
}

// leavingMetrics are the metrics of a service, and what was last published and logged.
type leavingMetrics struct {
	share           metrics.Gauge
	inside, outside metrics.Counter
	published       choose.Leaving
	logged          float64
}

// newLeavingReport returns a report without services.
func newLeavingReport(scope metrics.Scope, events zerolog.Logger) *leavingReport {
	return &leavingReport{scope: scope, events: events, services: map[id.ServiceName]*leavingMetrics{}}
}

// update publishes the metrics and logs shares that have changed much since the last line. Services beyond
// metrics.MaxServices are left out.
func (l *leavingReport) update(now clock.Time, all map[id.ServiceName]choose.Leaving) {
	changed := map[string]float64{}
	for service, current := range all {
		m := l.of(service)
		if m == nil {
			continue
		}
		m.share.Update(current.Share)
		m.inside.Inc(max(current.Inside-m.published.Inside, 0))
		m.outside.Inc(max(current.Outside-m.published.Outside, 0))
		m.published = current
		if math.Abs(current.Share-m.logged) >= loggedLeavingChange {
			changed[string(service)] = current.Share
		}
	}
	if len(changed) == 0 || (l.loggedAt != 0 && now.Sub(l.loggedAt) < leavingLogInterval) {
		return
	}
	l.loggedAt = now
	for service, share := range changed {
		l.services[id.ServiceName(service)].logged = share
	}
	l.events.Info().Interface("shares", changed).Msg("daemon: share of attempts that may leave the failure domain changed")
}

// of returns the metrics of a service and creates them at first use; nil if there are too many services.
func (l *leavingReport) of(service id.ServiceName) *leavingMetrics {
	m := l.services[service]
	if m == nil && len(l.services) < metrics.MaxServices {
		label := metrics.Label{Name: "service", Value: string(service)}
		place := func(value string) metrics.Counter {
			return l.scope.Counter("attempts_started_total", label, metrics.Label{Name: "place", Value: value})
		}
		m = &leavingMetrics{share: l.scope.Gauge("leaving_share", label), inside: place("inside"), outside: place("outside"), logged: 1}
		l.services[service] = m
	}
	return m
}
