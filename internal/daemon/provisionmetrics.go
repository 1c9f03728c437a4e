package daemon

import (
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/metrics"
	"buckthornlatch.example/buckthornlatch/internal/metrics/scrape"
)

// provisionMetrics creates the metrics and their exporter.
func (d *Daemon) provisionMetrics() error {
	exporter, err := scrape.New()
	if err != nil {
		return fault.New("create metrics", "", err)
	}
	d.exporter = exporter
	d.metrics = metrics.New(exporter.Scope)
	return nil
}
