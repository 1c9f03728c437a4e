package healthsim

import (
	"encoding/binary"
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/balancer"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// progressTimeout is the time after which a gate gives up on a silent target.
	progressTimeout = time.Second
	// maxAttempts bounds the attempts of an idempotent request.
	maxAttempts = 3
	// idempotentPart is the part of the requests that may be repeated.
	idempotentPart = 0.7
	// sources is the number of customers and routes that requests come from.
	sources = 24
	// queueLimit bounds the requests that wait at a gate.
	queueLimit = 50
)

// arrive schedules the next request of a service at a random entry.
func (w *world) arrive(service id.ServiceName) {
	d := w.deployment
	rate := d.Load * float64(d.TargetsPerService*d.Slots) / d.ServiceTime.Seconds()
	w.after(w.exponential(time.Duration(float64(time.Second)/rate)), func() {
		w.arrive(service)
		r := &request{
			entry:      w.hosts[w.random.IntN(len(w.hosts))],
			service:    service,
			idempotent: w.random.Float64() < idempotentPart,
			began:      w.now,
			source:     1 + w.random.Uint64N(sources),
		}
		w.attempt(r)
	})
}

// attempt sends a request to the gate that the entry's balancer chooses.
func (w *world) attempt(r *request) {
	c, ok := r.entry.balancer.Pick(r.service, r.tried, r.idempotent, w.clock())
	if !ok {
		w.done(r, false)
		return
	}
	r.attempts++
	r.tried = append(r.tried, c.Target)
	gate := w.host(c.Gate)
	if w.isCut(r.entry, gate) {
		r.entry.balancer.Report(balancer.Feedback{Target: c.Target, Result: balancer.ConnectFailed}, w.clock())
		w.result.ConnectFailures++
		w.retry(r, true)
		return
	}
	w.after(w.oneWay(r.entry, gate), func() { w.admit(r, gate) })
}

// isCut reports whether the scenario cuts the path from an entry to a gate.
func (w *world) isCut(entry, gate *host) bool {
	last := w.hosts[len(w.hosts)-1]
	return w.scenario == OneWayCut && w.now >= warmUp && entry == last && gate == w.hosts[0]
}

// admit lets the gate accept or refuse a request.
func (w *world) admit(r *request, gate *host) {
	e := gate.guard.eligible(w.clock())
	if !e.Admit || (e.IdempotentOnly && !r.idempotent) || len(gate.waiting) >= queueLimit {
		w.reply(r, gate, balancer.Refused, 0)
		return
	}
	if gate.busy >= w.deployment.Slots {
		gate.waiting = append(gate.waiting, r)
		return
	}
	w.dispatch(r, gate)
}

// dispatch runs a request on the gate's target.
func (w *world) dispatch(r *request, gate *host) {
	gate.busy++
	w.attempts++
	var attempt id.AttemptID
	binary.BigEndian.PutUint64(attempt[:], w.attempts)
	began := w.now
	gate.guard.observe(ejection.Observation{
		Target: gate.target, Attempt: attempt, Kind: ejection.Started, At: w.clock(),
		Deadline: w.clock().Add(2 * progressTimeout),
	})
	b := w.scenario.behaviourAt(w.now, gate.victim, gate.service == w.deployment.Services[0])
	taken := time.Duration(float64(w.serviceTime()) * b.factor)
	failed := w.random.Float64() < b.failing
	if failed && b.fast {
		taken = time.Millisecond
	}
	end := ejection.Observation{Target: gate.target, Attempt: attempt, Kind: ejection.Succeeded, Source: r.source}
	if failed {
		end.Kind = ejection.TargetError
	}
	if b.hangs {
		taken = progressTimeout
		end.Kind = ejection.StalledNew
	}
	w.after(taken, func() {
		end.At = w.clock()
		end.Latency = time.Duration(clock.Time(w.now).Sub(clock.Time(began)))
		gate.guard.observe(end)
		w.leave(gate)
		w.follow(gate, 0)
		w.publish(gate)
		if end.Kind == ejection.Succeeded {
			w.reply(r, gate, balancer.Completed, end.Latency)
			return
		}
		w.reply(r, gate, balancer.TargetFailed, 0)
	})
}

// leave frees a slot and dispatches the next waiting request.
func (w *world) leave(gate *host) {
	gate.busy--
	if len(gate.waiting) == 0 {
		return
	}
	next := gate.waiting[0]
	gate.waiting = slices.Delete(gate.waiting, 0, 1)
	w.admit(next, gate)
}

// reply carries the end of an attempt back to the entry.
func (w *world) reply(r *request, gate *host, result balancer.Result, latency time.Duration) {
	load := balancer.Load{FreeSlots: max(0, w.deployment.Slots-gate.busy), QueueLength: len(gate.waiting)}
	w.after(w.oneWay(gate, r.entry), func() {
		r.entry.balancer.Report(balancer.Feedback{
			Target: gate.target, Result: result, Latency: latency, Load: &load,
		}, w.clock())
		if result == balancer.Completed {
			w.done(r, true)
			return
		}
		w.retry(r, result == balancer.Refused)
	})
}

// retry tries another target if the request may be repeated; notRun says that it certainly did not run.
func (w *world) retry(r *request, notRun bool) {
	if r.attempts < maxAttempts && (notRun || r.idempotent) {
		w.attempt(r)
		return
	}
	w.done(r, false)
}

// done counts the end of a request that began after the fault.
func (w *world) done(r *request, ok bool) {
	if r.began < warmUp {
		return
	}
	w.result.Requests++
	if !ok {
		w.result.Failed++
	}
	if r.service == w.deployment.Services[0] {
		w.result.latencies = append(w.result.latencies, w.now-r.began)
	}
}
