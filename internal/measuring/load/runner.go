package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Runner carries out a plan.
type Runner struct {
	plan   Plan
	keys   Keys
	client *http.Client

	mu       sync.Mutex
	records  []Record
	overruns int
	inFlight chan struct{}
	wait     sync.WaitGroup
}

// NewRunner returns a runner; the client decides about TLS.
func NewRunner(plan Plan, keys Keys, client *http.Client) *Runner {
	return &Runner{
		plan:     plan,
		keys:     keys,
		client:   client,
		inFlight: make(chan struct{}, maxInFlight),
	}
}

// Run sends the whole plan and waits for the last answer. It stops early,
// keeping what it has, when the context ends.
func (r *Runner) Run(ctx context.Context) (History, error) {
	for _, customer := range r.plan.Customers {
		if _, ok := r.keys[customer.ID]; !ok {
			return History{}, fmt.Errorf("no key for customer %s", customer.ID)
		}
	}
	start := time.Now()
	var arrivals sync.WaitGroup
	for i, customer := range r.plan.Customers {
		arrivals.Add(1)
		go func() {
			defer arrivals.Done()
			r.arrivals(ctx, customer, start, rand.New(rand.NewPCG(uint64(r.plan.Seed), uint64(i))))
		}()
	}
	arrivals.Wait()
	r.wait.Wait()
	return History{Records: r.records, Overruns: r.overruns, Elapsed: time.Since(start)}, nil
}

// arrivals schedules one customer's requests.
func (r *Runner) arrivals(ctx context.Context, customer Customer, start time.Time, random *rand.Rand) {
	limit := newConformance(customer.LimitPerSecond, customer.LimitBurst)
	home := random.IntN(len(r.plan.Daemons))
	due := time.Duration(0)
	for n := 0; ; n++ {
		due += time.Duration(random.ExpFloat64() / customer.RatePerSecond * float64(time.Second))
		if due >= r.plan.Duration || !sleepUntil(ctx, start.Add(due)) {
			return
		}
		op := choose(customer.Operations, random)
		task := task{
			customer: customer,
			op:       op,
			daemon:   r.daemonOf(customer.Placement, home, due, random),
			start:    start,
			record: Record{
				RequestID:  fmt.Sprintf("%s-%d-%d", customer.ID, r.plan.Seed, n),
				Customer:   customer.ID,
				Conforming: limit.take(due, op.cost()),
				Due:        due,
			},
		}
		r.launch(ctx, task)
	}
}

// daemonOf picks the daemon's index for one request.
func (r *Runner) daemonOf(placement Placement, home int, due time.Duration, random *rand.Rand) int {
	switch placement {
	case Pinned:
		return home
	case Moving:
		return (home + int(due/MovePeriod)) % len(r.plan.Daemons)
	default:
		return random.IntN(len(r.plan.Daemons))
	}
}

// launch starts one request, or counts an overrun when too many are in flight.
func (r *Runner) launch(ctx context.Context, t task) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.mu.Lock()
		r.overruns++
		r.mu.Unlock()
		return
	}
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		defer func() { <-r.inFlight }()
		record := r.perform(ctx, t)
		r.mu.Lock()
		r.records = append(r.records, record)
		r.mu.Unlock()
	}()
}

// choose draws an operation by weight.
func choose(operations []Operation, random *rand.Rand) Operation {
	total := 0.0
	for _, op := range operations {
		total += op.Weight
	}
	drawn := random.Float64() * total
	for _, op := range operations {
		drawn -= op.Weight
		if drawn < 0 {
			return op
		}
	}
	return operations[len(operations)-1]
}

// sleepUntil waits for an instant; it returns false when the context ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
