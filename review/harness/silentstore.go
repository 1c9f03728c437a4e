package main

import (
	"fmt"
	"time"
)

// Bounds of the deployment's settings.
const (
	configApply = 2 * time.Second
	maxStretch  = 5 * time.Second
	contact     = 3 * time.Second
	drainTime   = 2 * time.Second
)

// silentStore lets the store answer one machine nothing for 6 s, in which the operator takes a key away. The callers of
// that machine use only the service of its own target.
func silentStore(f *fleet) ([]string, error) {
	const site = "salidas.example"
	services := []string{"catalogo", "reservas"}
	routes := map[string]any{
		"r-catalogo": route(site, "/catalogo/", "catalogo", "idempotent"),
		"r-reservas": route(site, "/reservas/", "reservas", "non_idempotent"),
	}
	if _, err := f.configure(1, services, routes, map[string]any{"escuela": tenant(0, 0, "old-key", "new-key")}); err != nil {
		return nil, err
	}
	alone, err := f.add("sidecar-1", "reservas")
	if err != nil {
		return nil, err
	}
	other, err := f.add("sidecar-2", "catalogo")
	if err != nil {
		return nil, err
	}
	third, err := f.add("sidecar-3", "catalogo")
	if err != nil {
		return nil, err
	}
	if _, err := f.add("sidecar-4", "catalogo"); err != nil {
		return nil, err
	}
	if err := f.start(f.hosts...); err != nil {
		return nil, err
	}
	f.at(3)
	f.load(alone, 5, 30, "POST", site, "/reservas/2f", "old-key")
	f.load(third, 5, 30, "POST", site, "/reservas/2f", "new-key")
	f.load(other, 5, 30, "GET", site, "/catalogo/2f", "old-key")
	f.at(6)
	routes["r-guias"] = route(site, "/guias/", "catalogo", "idempotent")
	if _, err := f.configure(3, services, routes, map[string]any{"escuela": tenant(0, 0, "old-key", "new-key")}); err != nil {
		return nil, err
	}
	f.at(7)
	if f.trouble {
		alone.door.set(silent)
		f.record.note("the store answers %s nothing", alone.name)
	}
	f.at(7.5)
	acked, err := f.configure(6, services, routes, map[string]any{"escuela": tenant(0, 0, "new-key")})
	if err != nil {
		return nil, err
	}
	f.at(13)
	served := time.Now()
	alone.door.set(serving)
	f.record.note("the store serves all machines")
	f.at(31)
	f.awaitCallers()
	from := acked.Add(configApply + maxStretch)
	if inTouch := served.Add(contact); inTouch.After(from) {
		from = inTouch
	}
	var breaches []string
	runs := f.runsOf()
	for _, r := range f.allRequests() {
		if r.key == "old-key" && r.sent.After(from) && len(runs[r.id]) > 0 {
			breaches = append(breaches, fmt.Sprintf("CONFIG: request %s with the key taken away was sent to %s at %.3f s, %.1f s after the acknowledgement, and ran",
				r.id, r.host.name, f.record.since(r.sent), r.sent.Sub(acked).Seconds()))
		}
	}
	return breaches, nil
}
