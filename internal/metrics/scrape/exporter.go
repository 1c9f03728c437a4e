package scrape

import (
	"io"
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/metrics"
)

// ReportPeriod is the interval at which values are reported to the Prometheus registry.
const ReportPeriod = time.Second

// Exporter is a Scope with an HTTP handler that serves its metrics.
type Exporter struct {
	Scope metrics.Scope
	// Handler serves the metrics to Prometheus; nil if the metrics are discarded.
	Handler http.Handler
	closer  io.Closer
}

// Close stops the reporting.
func (e *Exporter) Close() {
	if e.closer != nil {
		_ = e.closer.Close()
	}
}
