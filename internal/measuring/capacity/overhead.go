package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/emulator/target"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/measuring/experiment"
	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
)

const (
	// overheadService and overheadCustomer are the only ones of the measured fleet.
	overheadService  = "work"
	overheadCustomer = "caller"
	// overheadRate and overheadBurst keep the customer's limits out of the measurement.
	overheadRate  = 20_000
	overheadBurst = 20_000
	// overheadSlots lets the target run everything at once.
	overheadSlots = 256
	// overheadSettle lets grants, records and connections spread.
	overheadSettle = 5 * time.Second
)

// OverheadConfig describes a measurement of the request path.
type OverheadConfig struct {
	// Rates are the open-loop loads in requests per second; a closed loop of one caller comes first.
	Rates []float64
	// Slice is the length of one visit of one path; the paths take turns Rounds times.
	Slice  time.Duration
	Rounds int
	Seed   uint64
}

// overheadRun is one measurement.
type overheadRun struct {
	config OverheadConfig
	paths  []*path
	random *rand.Rand
	// idleCPU and idleAllocated are what the fleet uses per second without requests.
	idleCPU, idleAllocated float64
}

// MeasureOverhead compares three paths to one target: direct, through one daemon
// and through two. The caller, the daemons and the target share this process.
func MeasureOverhead(ctx context.Context, config OverheadConfig) ([]OverheadResult, error) {
	fleet, err := experiment.NewFleet(overheadEntries(), zerolog.Nop(), nil)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	work, err := fleet.StartTarget(fleet.Nodes[0], target.Config{
		Name: "work", Service: overheadService, Slots: overheadSlots, Seed: config.Seed,
	})
	if err != nil {
		return nil, err
	}
	key, err := prepare(ctx, fleet)
	if err != nil {
		return nil, err
	}
	urls := fleet.CallerURLs()
	r := &overheadRun{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, 1)),
		paths: []*path{
			newPath("direct", "http://"+work.Addr()+"/work", ""),
			newPath("one daemon", urls[0]+"/work", key),
			newPath("two daemons", urls[1]+"/work", key),
		},
	}
	return r.measure(ctx)
}

// overheadEntries is a catalogue of two hosts, one service and one customer.
func overheadEntries() []catalogue.Entry {
	meta := catalogue.Meta{Owner: "operations", Class: "standard"}
	return []catalogue.Entry{
		&catalogue.Host{Meta: meta, ID: hostName(0), FailureDomain: domainName(0)},
		&catalogue.Host{Meta: meta, ID: hostName(1), FailureDomain: domainName(1)},
		&catalogue.Service{
			Meta: meta, Name: overheadService, MinHealthyFraction: 0.5, QueueLimit: 1000, QueueLimitPerCustomer: 1000,
			RequestTimeout: requestTimeout, ProgressTimeout: requestTimeout, MaxBodyBytes: 1 << 20,
		},
		&catalogue.Customer{
			Meta: meta, ID: overheadCustomer, RatePerSecond: overheadRate, Burst: overheadBurst, Weight: 1,
		},
		&catalogue.Route{
			Meta: meta, ID: id.RouteID("work"), Service: overheadService,
			PathPrefix: "/work", Idempotent: true, OpenToAll: true,
		},
	}
}

// prepare applies the catalogue and returns the customer's key.
func prepare(ctx context.Context, fleet *experiment.Fleet) (string, error) {
	if err := fleet.AwaitReady(0); err != nil {
		return "", err
	}
	if err := fleet.Apply(ctx, overheadEntries()); err != nil {
		return "", err
	}
	keys, err := fleet.IssueKeys(ctx, load.Plan{Customers: []load.Customer{{ID: overheadCustomer}}})
	if err != nil {
		return "", err
	}
	if err := fleet.AwaitReady(1); err != nil {
		return "", err
	}
	return keys[overheadCustomer], pause(ctx, overheadSettle)
}

// measure runs all loads; rate zero is the closed loop.
func (r *overheadRun) measure(ctx context.Context) ([]OverheadResult, error) {
	if err := r.idle(ctx); err != nil {
		return nil, err
	}
	var results []OverheadResult
	for _, rate := range append([]float64{0}, r.config.Rates...) {
		samples := make([]*sample, len(r.paths))
		for i, p := range r.paths {
			samples[i] = newSample()
			// The first requests open connections and obtain the first grants.
			r.slice(ctx, p, rate, newSample())
		}
		for range r.config.Rounds {
			for i, p := range r.paths {
				if err := r.visit(ctx, p, rate, samples[i]); err != nil {
					return nil, err
				}
			}
		}
		for i, p := range r.paths {
			if samples[i].latencies.TotalCount() == 0 {
				return nil, fmt.Errorf("path %s: no request succeeded at rate %v", p.name, rate)
			}
			results = append(results, r.result(p, rate, samples[i], samples[0]))
		}
	}
	return results, nil
}

// idle measures the fleet without requests.
func (r *overheadRun) idle(ctx context.Context) error {
	s := newSample()
	err := r.accounted(s, func() error { return pause(ctx, r.config.Slice) })
	r.idleCPU = s.cpu.Seconds() / s.seconds
	r.idleAllocated = float64(s.allocated) / s.seconds
	return err
}

// visit runs one accounted slice.
func (r *overheadRun) visit(ctx context.Context, p *path, rate float64, s *sample) error {
	return r.accounted(s, func() error {
		r.slice(ctx, p, rate, s)
		return ctx.Err()
	})
}

// accounted adds the process's use during f to the sample.
func (r *overheadRun) accounted(s *sample, f func() error) error {
	before, err := readUsage()
	if err != nil {
		return err
	}
	if err := f(); err != nil {
		return err
	}
	after, err := readUsage()
	s.seconds += after.at.Sub(before.at).Seconds()
	s.cpu += after.cpu - before.cpu
	s.allocated += after.allocated - before.allocated
	return err
}

// slice loads one path for one slice. The open loop's arrivals are Poisson, and a
// latency counts from the scheduled arrival.
func (r *overheadRun) slice(ctx context.Context, p *path, rate float64, s *sample) {
	end := time.Now().Add(r.config.Slice)
	if rate == 0 {
		for now := time.Now(); now.Before(end) && ctx.Err() == nil; now = time.Now() {
			s.timed(ctx, p, now)
		}
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	due := time.Now()
	for {
		due = due.Add(time.Duration(r.random.ExpFloat64() / rate * float64(time.Second)))
		if due.After(end) || pause(ctx, time.Until(due)) != nil {
			return
		}
		at := due
		group.Go(func() { s.timed(ctx, p, at) })
	}
}
