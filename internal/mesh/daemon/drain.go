package daemon

import (
	"context"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

const (
	// leaveTime is how long callers are still served after the signal: they are told by a probe each second and leave
	// after two that fail.
	leaveTime = 2600 * time.Millisecond
	// endMargin is left of the grace period when the last requests are answered. It is the time for their answers, on a
	// host with a third of a core.
	endMargin = 250 * time.Millisecond
	// exitMargin is left of the grace period for the end of the process.
	exitMargin = 100 * time.Millisecond
	// giveUpShare is the part of the grace period after which requests that no target works on are answered. Those that
	// a target works on have until endMargin before the end of the period.
	giveUpShare = 0.9
	// drainPoll is the period of the check whether requests are still being served.
	drainPoll = 20 * time.Millisecond
)

// drain serves callers until they have left, then what is in flight.
func (d *Daemon) drain() {
	started := time.Now()
	grace := d.config.Bounds().Grace
	d.draining.Store(true)
	d.config.Lines.Events.Info().Dur("grace", grace).Msg("daemon: draining")
	d.gate.Drain()
	if r, known := d.gate.Record(); known && r.State == roster.Gone {
		d.syncer.Leave()
	}
	time.Sleep(min(leaveTime, max(grace/2, 0)))
	deadline := started.Add(max(grace-exitMargin, 0))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	giveUp := time.AfterFunc(time.Until(started.Add(time.Duration(giveUpShare*float64(grace)))), func() { close(d.stopping) })
	defer giveUp.Stop()
	end := time.AfterFunc(time.Until(started.Add(max(grace-endMargin, 0))), func() {
		close(d.ending)
		d.gate.End()
	})
	defer end.Stop()
	for _, s := range d.servers {
		if s.name == callersServer {
			s.shutdown(ctx, d.config.Lines.Events)
		}
	}
	for !d.idle() && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
	d.config.Lines.Events.Info().Bool("complete", d.idle()).Dur("took", time.Since(started)).Msg("daemon: stopped")
}

// idle reports whether neither the entry nor the gate is working.
func (d *Daemon) idle() bool {
	return d.meters.inFlight.idle() && d.gate.Idle()
}
