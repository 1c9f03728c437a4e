package scrape_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/metrics"
	"buckthornlatch.example/buckthornlatch/internal/metrics/scrape"
)

// Guards against metrics that are counted but not exported.
func TestScrape(t *testing.T) {
	exporter, err := scrape.New()
	if err != nil {
		t.Fatal(err)
	}
	defer exporter.Close()
	set := metrics.New(exporter.Scope)
	set.Attempts.Of(hop.Once).Inc(string(hop.Ran))
	set.Latency.RecordDuration(3 * time.Millisecond)
	time.Sleep(2 * scrape.ReportPeriod)
	w := httptest.NewRecorder()
	exporter.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`buckthornlatch_attempts_total{class="once",verdict="ran"} 1`,
		`buckthornlatch_refusals_total{code="queue-full"} 0`,
		`buckthornlatch_request_latency_seconds_bucket{le="0.005"} 1`,
	} {
		if !strings.Contains(w.Body.String(), line) {
			t.Errorf("no line %s in:\n%s", line, w.Body)
		}
	}
}

// BenchmarkRequest measures the overhead of the metrics for a request that is admitted and attempted once.
func BenchmarkRequest(b *testing.B) {
	exporter, err := scrape.New()
	if err != nil {
		b.Fatal(err)
	}
	defer exporter.Close()
	respond := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	for _, c := range []struct {
		name  string
		scope metrics.Scope
	}{{"none", nil}, {"discard", metrics.Discard{}}, {"tally", exporter.Scope}} {
		b.Run(c.name, func(b *testing.B) {
			handler := http.Handler(respond)
			if c.scope != nil {
				set := metrics.New(c.scope)
				handler = set.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					set.Rate.Inc(metrics.OK)
					set.Attempts.Of(hop.Idempotent).Inc(string(hop.Ran))
					set.Queues.Of("archive").Wait.RecordDuration(time.Millisecond)
					respond(w, r)
				}))
			}
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				w := discardWriter{header: http.Header{}}
				for pb.Next() {
					handler.ServeHTTP(w, r)
				}
			})
		})
	}
}

// discardWriter is a response writer that discards the response.
type discardWriter struct{ header http.Header }

func (s discardWriter) Header() http.Header         { return s.header }
func (s discardWriter) WriteHeader(int)             {}
func (s discardWriter) Write(p []byte) (int, error) { return len(p), nil }
