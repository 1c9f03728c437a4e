package scrape

import (
	"io"
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/metrics"
)

// ReportPeriod is the time between two transfers of the values to the scraped registry.
const ReportPeriod = time.Second

// Exporter is a Scope with the handler that serves its metrics.
type Exporter struct {
	Scope metrics.Scope
	// Handler serves the metrics as Prometheus reads them; nil when nothing is kept.
	Handler http.Handler
	closer  io.Closer
}

// Close ends the transfers.
func (e *Exporter) Close() {
	if e.closer != nil {
		_ = e.closer.Close()
	}
}
