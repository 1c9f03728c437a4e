package main

import (
	"fmt"
	"time"
)

// restartPause is the time between the end of a daemon and its next start.
const restartPause = 500 * time.Millisecond

// forgottenAck lets the store turn one machine away for 8.5 s. In that time the target of that machine deregisters, and
// the daemon, which has acknowledged it, is stopped and started again.
func forgottenAck(f *fleet) ([]string, error) {
	const site = "salidas.example"
	routes := map[string]any{"r-reservas": route(site, "/reservas/", "reservas", "non_idempotent")}
	if _, err := f.configure(1, []string{"reservas", "catalogo"}, routes, map[string]any{"escuela": tenant(0, 0, "key")}); err != nil {
		return nil, err
	}
	leaving, err := f.add("sidecar-1", "reservas")
	if err != nil {
		return nil, err
	}
	if _, err := f.add("sidecar-2", "reservas"); err != nil {
		return nil, err
	}
	entry, err := f.add("sidecar-3", "catalogo")
	if err != nil {
		return nil, err
	}
	if _, err := f.add("sidecar-4", "catalogo"); err != nil {
		return nil, err
	}
	if err := f.start(f.hosts...); err != nil {
		return nil, err
	}
	f.at(4)
	f.load(entry, 20, 22, "POST", site, "/reservas/2f", "key")
	f.at(6)
	if f.trouble {
		leaving.door.set(busy)
		f.record.note("the store answers %s with 503", leaving.name)
	}
	f.at(6.3)
	acked, err := leaving.target.deregister(f.ctx)
	if err != nil {
		return nil, err
	}
	f.at(7.5)
	if err := leaving.restart(); err != nil {
		return nil, err
	}
	f.at(14.5)
	leaving.door.set(serving)
	stable := time.Now()
	f.record.note("the store serves all machines")
	f.at(23)
	f.awaitCallers()
	sent := map[string]request{}
	for _, r := range f.allRequests() {
		sent[r.id] = r
	}
	var breaches []string
	for _, run := range leaving.target.allRuns() {
		r, known := sent[run.id]
		// All machines are in touch from then on.
		if known && r.sent.After(stable.Add(contact)) && run.at.After(acked.Add(drainTime)) {
			breaches = append(breaches, fmt.Sprintf("DRAIN: request %s, sent to %s at %.3f s, reached the target that had deregistered %.1f s before",
				run.id, r.host.name, f.record.since(r.sent), run.at.Sub(acked).Seconds()))
		}
	}
	return breaches, nil
}
