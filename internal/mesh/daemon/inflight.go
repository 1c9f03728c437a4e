package daemon

import (
	"sync/atomic"

	"buckthornlatch.example/buckthornlatch/internal/metrics"
)

// inFlight counts the requests being served.
type inFlight struct {
	count atomic.Int64
	gauge metrics.Gauge
}

// add adds delta to the count.
func (f *inFlight) add(delta int64) {
	f.gauge.Update(float64(f.count.Add(delta)))
}

// idle reports whether no request is being served.
func (f *inFlight) idle() bool {
	return f.count.Load() == 0
}
