package daemon

import (
	"context"
	"time"
)

const (
	// callerDrainTime is how long new requests of callers are accepted after the stop signal: callers probe readiness
	// each second and leave after two failed probes.
	callerDrainTime = 2600 * time.Millisecond
	// cancelMargin is the time before the end of the grace period at which all remaining attempts are cancelled. It
	// leaves time to send the responses on a host with a third of a core.
	cancelMargin = 250 * time.Millisecond
	// targetMargin is how long before cancelMargin targets are to have answered.
	targetMargin = 100 * time.Millisecond
	// exitMargin is the part of the grace period that is left for the process to exit.
	exitMargin = 100 * time.Millisecond
	// cancelQueuedShare is the fraction of the grace period after which attempts that are not running at a target are
	// cancelled and their requests answered. Running ones have until cancelMargin before the end of the period.
	cancelQueuedShare = 0.9
	// drainPollInterval is the interval at which drain checks whether requests are still being served.
	drainPollInterval = 20 * time.Millisecond
	// maxSignalDelayShare is the largest part of the grace period for which a stop signal is taken to have been under way. The rest is
	// left for a drain in which what is at work can end: the delay is a bound, and the signal may have come much later.
	maxSignalDelayShare = 2.0 / 3
	// lateReserveShare is the part of the grace period, at its end, in which work may be cancelled on a host that noticed the signal
	// late: what made it late also delays the end of the drain.
	lateReserveShare = 1.0 / 6
	// restartTime is how long after the end of a grace period the next process may still be starting.
	restartTime = time.Second
)

// drain serves callers until they have moved away, then finishes the requests in flight. All times count from when the stop signal
// may have been sent: the process is killed a grace period after that, however late it noticed the signal.
func (d *Daemon) drain() {
	noticed, grace := time.Now(), d.config.Bounds().Grace
	late := d.signalDelay(grace)
	started := noticed.Add(-late)
	reserve := lateReserve(grace, late)
	ends := started.Add(stopTime(grace) - reserve)
	d.stopEnds.Store(&ends)
	d.draining.Store(true)
	close(d.drainBegins)
	// Callers notice the stop only after the process has, but what comes in the second half of the period might not end in it.
	callersLeave := earlier(noticed.Add(callerDrainTime), started.Add(max(grace/2, 0)))
	now := d.clock.Now()
	d.gate.StopBy(now.Add(time.Until(callersLeave)), now.Add(time.Until(ends)))
	d.config.Loggers.Events.Info().Dur("grace", grace).Dur("late", late).Msg("daemon: draining")
	time.Sleep(time.Until(callersLeave))
	d.refusing.Store(true)
	deadline := started.Add(max(grace-exitMargin, 0))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	cancelQueued := time.AfterFunc(time.Until(started.Add(time.Duration(cancelQueuedShare*float64(grace))-reserve)), func() { close(d.stopping) })
	defer cancelQueued.Stop()
	cancelAll := time.AfterFunc(time.Until(started.Add(max(grace-cancelMargin-reserve, 0))), func() {
		close(d.ending)
		d.gate.CancelRunning()
	})
	defer cancelAll.Stop()
	d.closeCallers(ctx)
	for d.finishesEarlier() && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	d.gate.Drain()
	for !d.idle() && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	// The gate admits nothing any more. Attempts that come from now on get refusals, which are not waited for.
	last := d.answers.latest()
	for d.answers.upTo(last) > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	d.logStop(time.Since(started), d.answers.upTo(last))
}

// signalDelay returns how long ago the stop signal that was just noticed may have been sent.
func (d *Daemon) signalDelay(grace time.Duration) time.Duration {
	delay := d.lag.Delay
	if d.config.SignalDelay != nil {
		delay = d.config.SignalDelay
	}
	return min(delay(), time.Duration(maxSignalDelayShare*float64(max(grace, 0))))
}

// lateReserve returns how much sooner than usual a host cancels work at the end of the grace period that noticed the signal late.
func lateReserve(grace, late time.Duration) time.Duration {
	return max(min(late, time.Duration(lateReserveShare*float64(grace))-cancelMargin), 0)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// stopLeft returns for how long the host may still be in a planned stop. A process that has just started may be the second half of
// one: its predecessor may have ended long before its grace period, and nothing tells when that began.
func (d *Daemon) stopLeft() time.Duration {
	longest := d.config.Bounds().Grace + restartTime
	if d.draining.Load() {
		return longest
	}
	return d.startedAt.Add(longest).Sub(d.clock.Now())
}

// stopTime returns how long a planned stop with a grace period waits for the answers of targets.
func stopTime(grace time.Duration) time.Duration {
	return max(grace-cancelMargin-targetMargin, 0)
}

// endOfStop returns when a planned stop ends the requests that are still served, zero while there is none.
func (d *Daemon) endOfStop() time.Time {
	if ends := d.stopEnds.Load(); ends != nil {
		return *ends
	}
	return time.Time{}
}

// closeCallers closes the callers' connections, each with its last answer. Requests that still come are refused: callers may
// hold connections on which they have sent nothing yet.
func (d *Daemon) closeCallers(ctx context.Context) {
	for _, s := range d.servers {
		if s.name == callersServer {
			d.front.AwaitAccepted(ctx, s.listener)
			s.stopAccepting(d.config.Loggers.Events)
			d.front.CloseAll(ctx)
		}
	}
}

// logStop logs what the end of the process cuts off: requests of callers, the callers' connections that are open, and
// answers to other hosts.
func (d *Daemon) logStop(took time.Duration, answers int) {
	requests, conns := d.meters.inFlight.count.Load(), d.front.OpenConns()
	event := d.config.Loggers.Events.Info()
	if requests > 0 || answers > 0 {
		event = d.config.Loggers.Events.Warn()
	}
	d.traffic.log()
	event.Bool("complete", d.idle() && answers == 0).Int64("requests", requests).Int("conns", conns).Int("answers", answers).Dur("took", took).
		Msg("daemon: stopped")
}

// finishesEarlier reports whether a stop still waits for requests of callers, or for attempts that came before it. The
// gate admits attempts meanwhile, but they alone do not keep the process.
func (d *Daemon) finishesEarlier() bool {
	return !d.meters.inFlight.idle() || d.gate.RunsEarlier()
}

// idle reports whether neither the entry nor the gate has work in flight.
func (d *Daemon) idle() bool {
	return d.meters.inFlight.idle() && d.gate.Idle()
}
