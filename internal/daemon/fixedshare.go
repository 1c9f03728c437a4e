package daemon

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// fixedShareValidity is the time in which an admitted request must be dispatched.
const fixedShareValidity = 2 * time.Second

// fixedShare admits each customer's requests at this daemon's equal share of the customer's limit.
type fixedShare struct {
	catalogue snapshots

	mu      sync.Mutex
	buckets map[id.CustomerID]*rate.Limiter
}

// Admit implements entry.Admitter.
func (f *fixedShare) Admit(_ context.Context, customer id.CustomerID) (entry.Admission, error) {
	snapshot := f.catalogue.Snapshot()
	limits := snapshot.Customer(customer)
	if limits == nil {
		return entry.Admission{}, &entry.Refusal{Code: problem.RateExceeded}
	}
	hosts := max(1, len(snapshot.Roster()))
	f.mu.Lock()
	defer f.mu.Unlock()
	bucket, ok := f.buckets[customer]
	if !ok {
		bucket = rate.NewLimiter(rate.Limit(limits.RatePerSecond/float64(hosts)), max(1, limits.Burst/hosts))
		f.buckets[customer] = bucket
	}
	if !bucket.Allow() {
		return entry.Admission{}, &entry.Refusal{Code: problem.RateExceeded}
	}
	return entry.Admission{ValidFor: fixedShareValidity}, nil
}
