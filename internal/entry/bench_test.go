package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// benchTransport keeps enough connections for parallel callers.
var benchTransport = &http.Transport{MaxIdleConnsPerHost: 256}

// benchTarget answers at once with a small body.
func benchTarget(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = w.Write([]byte("done"))
}

// benchCall sends one request and reads the response.
func benchCall(b *testing.B, method, url, body string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	request.Header.Set("Authorization", "Bearer "+validKey)
	response, err := benchTransport.RoundTrip(request)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Error(response.Status)
	}
}

// benchStack returns the URL of an entry whose target announces itself until the benchmark ends.
func benchStack(b *testing.B) string {
	s := newStack(b)
	s.addGate("t1", 16, benchTarget)
	b.Cleanup(s.keepAnnouncing(16))
	return s.front.URL
}

// benchSequential sends one request at a time and reports the latency percentiles.
func benchSequential(b *testing.B, method, url, body string) {
	benchCall(b, method, url, body)
	b.ReportAllocs()
	var took []time.Duration
	for b.Loop() {
		start := time.Now()
		benchCall(b, method, url, body)
		took = append(took, time.Since(start))
	}
	reportPercentiles(b, took)
}

// reportPercentiles reports the 50th and 99th percentile of the latency in microseconds.
func reportPercentiles(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
}

// BenchmarkDirect is the baseline: a GET sent straight to the target.
func BenchmarkDirect(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(benchTarget))
	b.Cleanup(target.Close)
	benchSequential(b, http.MethodGet, target.URL+"/browse", "")
}

// BenchmarkFleet is a GET through entry and gate.
func BenchmarkFleet(b *testing.B) {
	benchSequential(b, http.MethodGet, benchStack(b)+"/browse", "")
}

// BenchmarkFleetBooking is a POST with a small body through entry and gate.
func BenchmarkFleetBooking(b *testing.B) {
	benchSequential(b, http.MethodPost, benchStack(b)+"/book", "seat=2")
}

// BenchmarkPaced sends 400 requests a second from 8 callers, direct and through entry and gate, to measure the added
// latency without queueing.
func BenchmarkPaced(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(benchTarget))
	b.Cleanup(target.Close)
	front := benchStack(b)
	b.Run("direct", func(b *testing.B) { benchPaced(b, target.URL) })
	b.Run("fleet", func(b *testing.B) { benchPaced(b, front) })
}

// benchPaced sends b.N requests at a fixed rate.
func benchPaced(b *testing.B, url string) {
	const callers, period = 8, 20 * time.Millisecond
	var mu sync.Mutex
	var took []time.Duration
	var group sync.WaitGroup
	b.ResetTimer()
	for caller := range callers {
		group.Go(func() {
			next := time.Now().Add(period * time.Duration(caller) / callers)
			for i := caller; i < b.N; i += callers {
				time.Sleep(time.Until(next))
				start := time.Now()
				benchCall(b, http.MethodGet, url+"/browse", "")
				mu.Lock()
				took = append(took, time.Since(start))
				mu.Unlock()
				next = next.Add(period)
			}
		})
	}
	group.Wait()
	reportPercentiles(b, took)
}
