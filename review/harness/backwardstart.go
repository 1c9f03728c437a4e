package main

import (
	"fmt"
	"time"
)

// clockAhead is by how much the time of day of the target's machine is ahead before it jumps back.
const clockAhead = 2400 * time.Millisecond

// backwardStart restarts a target under its id while the time of day of its machine jumps back. Later the target drains.
func backwardStart(f *fleet) ([]string, error) {
	const site = "salidas.example"
	routes := map[string]any{"r-reservas": route(site, "/reservas/", "reservas", "non_idempotent")}
	if _, err := f.configure(1, []string{"reservas"}, routes, map[string]any{"escuela": tenant(0, 0, "key")}); err != nil {
		return nil, err
	}
	leaving, err := f.add("sidecar-1", "reservas")
	if err != nil {
		return nil, err
	}
	staying, err := f.add("sidecar-2", "reservas")
	if err != nil {
		return nil, err
	}
	if err := f.start(staying); err != nil {
		return nil, err
	}
	ahead := time.Duration(0)
	if f.trouble {
		ahead = clockAhead
	}
	t := leaving.target
	if err := t.start("i-leaving", time.Now().Add(ahead)); err != nil {
		return nil, err
	}
	f.work.Go(func() { t.beat(f.ctx) })
	if err := leaving.startDaemon(); err != nil {
		return nil, err
	}
	if err := leaving.awaitReady(readyTimeout); err != nil {
		return nil, err
	}
	t.heartbeat(f.ctx)
	time.Sleep(500 * time.Millisecond)
	t.stop()
	time.Sleep(500 * time.Millisecond)
	if err := t.start("i-leaving", time.Now()); err != nil {
		return nil, err
	}
	f.at(6)
	f.load(leaving, 10, 18, "POST", site, "/reservas/2f", "key")
	f.load(staying, 10, 18, "POST", site, "/reservas/2f", "key")
	f.at(10)
	t.setState("draining")
	if !t.heartbeat(f.ctx) {
		return nil, fmt.Errorf("the draining heartbeat was not acknowledged")
	}
	acked := time.Now()
	f.record.note("the draining heartbeat was acknowledged")
	f.at(19)
	f.awaitCallers()
	var breaches []string
	for _, run := range t.allRuns() {
		if run.at.After(acked.Add(drainTime)) {
			breaches = append(breaches, fmt.Sprintf("DRAIN: request %s reached the target %.1f s after its draining was acknowledged", run.id, run.at.Sub(acked).Seconds()))
		}
	}
	return breaches, nil
}
