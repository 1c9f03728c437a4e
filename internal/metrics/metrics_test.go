package metrics_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/metrics"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

func TestMetrics(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "metrics")
}

// memory is a Scope that stores the value of every series by name and labels.
type memory map[string]*series

// series is a metric with one set of label values.
type series struct{ value float64 }

func (s *series) Inc(delta int64)              { s.value += float64(delta) }
func (s *series) Update(value float64)         { s.value = value }
func (s *series) RecordDuration(time.Duration) { s.value++ }

// of creates a series. It fails if the series exists already, because two metrics would then update one value.
func (m memory) of(name string, labels []metrics.Label) *series {
	key := name + fmt.Sprint(labels)
	Expect(m).NotTo(HaveKey(key))
	m[key] = &series{}
	return m[key]
}

func (m memory) Counter(name string, labels ...metrics.Label) metrics.Counter {
	return m.of(name, labels)
}

func (m memory) Gauge(name string, labels ...metrics.Label) metrics.Gauge {
	return m.of(name, labels)
}

func (m memory) Histogram(name string, _ []time.Duration, labels ...metrics.Label) metrics.Histogram {
	return m.of(name, labels)
}

// value returns the value of a series.
func (m memory) value(key string) float64 {
	Expect(m).To(HaveKey(key))
	return m[key].value
}

var _ = Describe("Set", func() {
	var scope memory
	var set *metrics.Set
	BeforeEach(func() {
		scope = memory{}
		set = metrics.New(scope)
	})

	// serve sends one request through Set.Handler.
	serve := func(next http.HandlerFunc) {
		defer func() { _ = recover() }()
		r := httptest.NewRequest(http.MethodGet, "/walks/1", nil)
		r.Header.Set("Authorization", "Bearer secret-key")
		set.Handler(next).ServeHTTP(httptest.NewRecorder(), r)
	}

	// Guards against requests that are not counted or are counted by the wrong metric.
	It("counts responses, refusals and aborted responses", func() {
		serve(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusEarlyHints)
			w.WriteHeader(http.StatusNotFound)
		})
		serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
		serve(func(w http.ResponseWriter, _ *http.Request) {
			_ = problem.New(problem.QueueFull, problem.NotRun, "").Write(w)
		})
		serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		Expect(scope.value("requests_total[{status 4xx}]")).To(Equal(1.0))
		Expect(scope.value("requests_total[{status 2xx}]")).To(Equal(1.0))
		Expect(scope.value("refusals_total[{code queue-full}]")).To(Equal(1.0))
		Expect(scope.value("requests_aborted_total[]")).To(Equal(1.0))
		Expect(scope.value("request_latency_seconds[]")).To(Equal(4.0))
		set.SampleInFlight()
		Expect(scope.value("requests_in_flight[]")).To(BeZero())
		serve(func(http.ResponseWriter, *http.Request) { set.SampleInFlight() })
		Expect(scope.value("requests_in_flight[]")).To(Equal(1.0))
	})

	// Guards against unbounded label values, such as customers, services or unknown codes, and against a key in a
	// label.
	It("keeps the number of series bounded", func() {
		created := len(scope)
		for i := range 1000 {
			serve(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, `{"type":"urn:buckthornlatch:problem:invented-%d"}`, i)
			})
			set.Rate.Inc(fmt.Sprintf("customer-%d", i))
		}
		Expect(scope).To(HaveLen(created))
		Expect(scope.value("refusals_total[{code other}]")).To(Equal(1000.0))
		for i := range 1000 {
			set.Queues.Of(id.ServiceName(fmt.Sprintf("service-%d", i))).Refused.Inc(1)
		}
		const perService = 4
		Expect(len(scope) - created).To(Equal((metrics.MaxServices + 1) * perService))
		for key := range scope {
			Expect(strings.Contains(key, "secret")).To(BeFalse())
		}
	})

	// Guards against failed platform and control calls that are not counted.
	It("counts calls by service and result", func() {
		status, failure := http.StatusOK, error(nil)
		next := roundTripper(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: status, Body: http.NoBody}, failure
		})
		send := func(t http.RoundTripper, path string) {
			_, _ = t.RoundTrip(httptest.NewRequest(http.MethodPost, path, nil))
		}
		control, store := set.Control.Transport(next), set.PlatformTransport(next)
		send(control, "/twirp/buckthornlatch.gossip.Gossip/Exchange")
		send(store, "/twirp/buckthornlatch.platform.Platform/Commit")
		status = http.StatusServiceUnavailable
		send(store, "/twirp/buckthornlatch.platform.Platform/Changes")
		failure = errors.New("broken")
		send(control, "/twirp/buckthornlatch.gossip.Gossip/Exchange")
		Expect(scope.value("control_calls_total[{result ok} {service gossip}]")).To(Equal(1.0))
		Expect(scope.value("control_calls_total[{result failed} {service gossip}]")).To(Equal(1.0))
		Expect(scope.value("platform_writes_total[{result ok}]")).To(Equal(1.0))
		Expect(scope.value("platform_reads_total[{result failed}]")).To(Equal(1.0))
	})
})

// roundTripper adapts a function to http.RoundTripper.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
