package daemon

import (
	"context"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/freshness"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/metrics"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
)

// samplePeriod is the time between two samples of the state that the metrics show.
const samplePeriod = time.Second

// unknownAgeSeconds is reported as the catalogue's age before the first complete platform read.
const unknownAgeSeconds = -1

// sampler copies the daemon's state into gauges.
type sampler struct {
	daemon *Daemon
	set    *metrics.Set
	// ejected are the targets that were ejected or on trial at the last sample.
	ejected map[string]bool
}

// sample takes a sample every samplePeriod until ctx ends.
func (d *Daemon) sample(ctx context.Context) error {
	s := &sampler{daemon: d, set: d.metrics, ejected: make(map[string]bool)}
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		s.read()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// read takes one sample.
func (s *sampler) read() {
	d := s.daemon
	now := d.clock.Now()
	s.set.SampleInFlight()
	status := d.syncer.Status()
	s.set.Revision.Update(float64(status.Revision))
	s.set.CatalogueAge.Update(unknownAgeSeconds)
	if age, ok := status.Age(now); ok {
		s.set.CatalogueAge.Update(age.Seconds())
	}
	verdict := d.fresh.verdict()
	for basis, gauge := range s.set.Fresh {
		gauge.Update(oneIf(basis == verdict.Basis && (verdict.Fresh(now) || basis == freshness.None)))
	}
	s.set.DutiesConfirmed.Update(oneIf(d.duties.Confirmed(now)))
	var hosts int
	d.gossip.View(func(t *membership.Table) { hosts = len(t.Records()) })
	s.set.KnownHosts.Update(float64(hosts))
	var suspects int
	d.quarantine.With(func(q *quarantine.Quarantine, at clock.Time) { suspects = len(q.Publish(at)) })
	s.set.CrashEvidence.Update(float64(suspects))
	s.targets(d.PublishedTargets())
	s.sampleConns()
}

// targets counts the host's targets by state, and new ejections.
func (s *sampler) targets(targets []membership.Target) {
	var suspected int
	counts := make(map[membership.TargetState]int)
	ejected := make(map[string]bool)
	for _, target := range targets {
		counts[target.State]++
		if target.Suspected {
			suspected++
		}
		if target.State != membership.TargetEjected && target.State != membership.TargetTrial {
			continue
		}
		key := string(target.Service) + "/" + target.Name
		ejected[key] = true
		if !s.ejected[key] {
			s.set.Ejections.Inc(1)
		}
	}
	s.ejected = ejected
	for state, gauge := range s.set.Targets {
		gauge.Update(float64(counts[state]))
	}
	s.set.Suspected.Update(float64(suspected))
}

// oneIf returns 1 for true and 0 for false.
func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
