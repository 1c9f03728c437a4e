package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// requestTimeout bounds one request of the overhead measurement.
	requestTimeout = 5 * time.Second
	// pathConnections bounds the idle connections of one path's caller.
	pathConnections = 256
	// highestLatency and latencyDigits are the range, from 1 us, and the precision of recorded latencies.
	highestLatency = int64(10 * time.Second / time.Microsecond)
	latencyDigits  = 3
)

// path is one way to the target.
type path struct {
	name   string
	url    string
	key    string
	client *http.Client
}

// newPath returns a path with connections of its own.
func newPath(name, url, key string) *path {
	transport := &http.Transport{MaxIdleConnsPerHost: pathConnections}
	return &path{name: name, url: url, key: key, client: &http.Client{Transport: transport, Timeout: requestTimeout}}
}

// call sends one request and reads the answer.
func (p *path) call(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return err
	}
	if p.key != "" {
		request.Header.Set("Authorization", "Bearer "+p.key)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err == nil && response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", p.name, response.Status)
	}
	return err
}

// sample is what one path did under one load.
type sample struct {
	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	failed    atomic.Int64
	seconds   float64
	cpu       time.Duration
	allocated uint64
}

// newSample returns an empty sample.
func newSample() *sample {
	return &sample{latencies: hdrhistogram.New(1, highestLatency, latencyDigits)}
}

// timed sends one request that was due at a time.
func (s *sample) timed(ctx context.Context, p *path, due time.Time) {
	err := p.call(ctx)
	if err != nil {
		s.failed.Add(1)
		return
	}
	taken := time.Since(due)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.latencies.RecordValue(min(taken.Microseconds(), highestLatency))
}

// quantile returns a latency quantile in milliseconds.
func (s *sample) quantile(percent float64) float64 {
	return float64(s.latencies.ValueAtQuantile(percent)) / 1000
}
