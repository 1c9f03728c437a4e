package capacity

import (
	"context"
	"net"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	emulator "buckthornlatch.example/buckthornlatch/internal/emulator/platform"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

const (
	// samplePeriod is the time between two looks at the platform's counts.
	samplePeriod = 100 * time.Millisecond
	// samplesPerSecond is the number of samples in the second of a peak.
	samplesPerSecond = int(time.Second / samplePeriod)
	// storedChanges are changes after the filling, so that a new daemon reads the stored snapshot.
	storedChanges = 200
)

// platformRun is one measurement.
type platformRun struct {
	config   PlatformConfig
	clock    clock.Clock
	server   *emulator.Server
	operator *operator
	members  []*member
}

// MeasurePlatform runs the platform calls of a whole fleet in this process against
// the emulator with its limits on: all daemons start at once, ordinary running,
// a failure domain restarts at once, and an outage during which another one restarts.
func MeasurePlatform(ctx context.Context, config PlatformConfig) ([]PlatformPhase, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	memory := platform.NewMemory()
	r := &platformRun{
		config:   config,
		clock:    clock.NewSystem(),
		server:   emulator.New(memory, 1),
		operator: newOperator(cataloguestore.New(memory.Table(), memory.Objects())),
	}
	if err := r.fill(ctx); err != nil {
		return nil, err
	}
	r.limit(false)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.New("listen for platform", "", err)
	}
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	group.Go(func() { _ = r.server.Serve(ctx, listener) })
	for n := range config.Daemons {
		r.members = append(r.members, &member{number: n, clock: r.clock, address: "http://" + listener.Addr().String()})
	}
	return r.phases(ctx)
}

// fill writes the catalogue and stores a snapshot.
func (r *platformRun) fill(ctx context.Context) error {
	if err := r.operator.fill(ctx, entries(r.config.Catalogue)); err != nil {
		return err
	}
	for range storedChanges {
		if err := r.operator.change(ctx, r.config.Catalogue.Customers); err != nil {
			return err
		}
	}
	return r.operator.store.SaveSnapshot(ctx, r.operator.replica.Snapshot())
}

// limit switches the platform's limits on, and an outage.
func (r *platformRun) limit(down bool) {
	r.server.SetFaults(emulator.Faults{
		Down:            down,
		ReadsPerSecond:  r.config.ReadsPerSecond,
		WritesPerSecond: r.config.WritesPerSecond,
	})
}

// phases runs all phases.
func (r *platformRun) phases(ctx context.Context) ([]PlatformPhase, error) {
	steps := []struct {
		name   string
		length time.Duration
		begin  func()
	}{
		{"all daemons start at once", r.config.Phase, func() { r.restart(ctx, -1) }},
		{"ordinary running", r.config.Phase, func() {}},
		{"a failure domain restarts at once", r.config.Phase, func() { r.restart(ctx, 0) }},
		{"ordinary running", r.config.Phase, func() {}},
		{"outage, another domain restarts", r.config.Outage, func() { r.limit(true); r.restart(ctx, 1) }},
		{"after the outage", r.config.Phase, func() { r.limit(false) }},
	}
	ordinary, stop := context.WithCancel(ctx)
	defer stop()
	var results []PlatformPhase
	for n, step := range steps {
		began := r.clock.Now()
		before := r.server.Counts()
		step.begin()
		if n == 1 {
			go r.ordinary(ordinary)
		}
		result, err := r.watch(ctx, began, before, step.length)
		if err != nil {
			return nil, err
		}
		result.Name = step.name
		results = append(results, result)
	}
	return results, nil
}

// ordinary makes the changes and restarts of ordinary days until ctx ends.
func (r *platformRun) ordinary(ctx context.Context) {
	go func() {
		_ = every(ctx, r.config.ChangeInterval, func(int) error {
			return r.operator.change(ctx, r.config.Catalogue.Customers)
		})
	}()
	_ = every(ctx, r.config.RestartInterval, func(n int) error {
		m := r.members[(failureDomains*n+failureDomains-1)%len(r.members)]
		m.end()
		m.start(context.WithoutCancel(ctx))
		return nil
	})
}

// restart starts the members of one failure domain again at once, or starts all for -1.
func (r *platformRun) restart(ctx context.Context, domain int) {
	var group sync.WaitGroup
	for _, m := range r.members {
		switch {
		case domain < 0:
			m.start(ctx)
		case m.number%failureDomains == domain:
			group.Go(func() { m.end(); m.start(ctx) })
		}
	}
	group.Wait()
}

// watch samples the counts for a phase that began at a time with the counts before.
func (r *platformRun) watch(ctx context.Context, began clock.Time, before emulator.Counts, length time.Duration) (PlatformPhase, error) {
	result := PlatformPhase{SettledSeconds: -1}
	samples := []emulator.Counts{before}
	for r.clock.Now().Sub(began) < length {
		if err := pause(ctx, samplePeriod); err != nil {
			return result, err
		}
		samples = append(samples, r.server.Counts())
		from := samples[max(0, len(samples)-1-samplesPerSecond)]
		now := samples[len(samples)-1]
		reads, writes := now.Reads-from.Reads, now.Writes-from.Writes
		result.PeakReads = max(result.PeakReads, reads)
		result.PeakWrites = max(result.PeakWrites, writes)
		result.PeakOffered = max(result.PeakOffered, reads+writes+now.Refused-from.Refused)
		if result.SettledSeconds < 0 && r.settledSince(began) {
			result.SettledSeconds = r.clock.Now().Sub(began).Seconds()
		}
	}
	last := samples[len(samples)-1]
	result.Seconds = r.clock.Now().Sub(began).Seconds()
	result.Reads = float64(last.Reads-before.Reads) / result.Seconds
	result.Writes = float64(last.Writes-before.Writes) / result.Seconds
	result.Refused = last.Refused - before.Refused
	return result, nil
}

// settledSince reports whether every member has settled since the time.
func (r *platformRun) settledSince(t clock.Time) bool {
	for _, m := range r.members {
		if !m.settledSince(t) {
			return false
		}
	}
	return true
}
