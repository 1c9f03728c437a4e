package main

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// The tenant's limit and the bounds of the settings.
const (
	tenantRate     = 60.0
	tenantBurst    = 30
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

// loneHomes adds two machines to eight while a part of the store is down, and a tenant asks for more than its quota.
func loneHomes(f *fleet) ([]string, error) {
	const (
		site      = "salidas.example"
		machines  = 8
		added     = 2
		perSecond = 28
		until     = 20
	)
	routes := map[string]any{"r-reservas": route(site, "/reservas/", "reservas", "idempotent")}
	tenants := map[string]any{"escuela": tenant(tenantRate, tenantBurst, "key")}
	if _, err := f.configure(1, []string{"reservas"}, routes, tenants); err != nil {
		return nil, err
	}
	for i := range machines + added {
		if _, err := f.add(fmt.Sprintf("sidecar-%d", i+1), "reservas"); err != nil {
			return nil, err
		}
	}
	if err := f.start(f.hosts[:machines]...); err != nil {
		return nil, err
	}
	f.at(5)
	for _, h := range f.hosts[:machines] {
		f.load(h, perSecond, until, "GET", site, "/reservas/2f", "key")
	}
	f.at(9)
	if f.trouble {
		f.store.setDown("hosts", true)
		f.record.note("the store answers 503 to all calls for the table hosts")
	}
	f.at(9.2)
	if err := f.start(f.hosts[machines:]...); err != nil {
		return nil, err
	}
	for _, h := range f.hosts[machines:] {
		f.load(h, perSecond, until, "GET", site, "/reservas/2f", "key")
	}
	f.at(13.5)
	f.store.setDown("hosts", false)
	f.record.note("the store serves all tables")
	f.at(until + 1)
	f.awaitCallers()
	return quotaBreaches(f), nil
}

// quotaBreaches returns the windows in which more requests were both sent and run than the quota allows.
func quotaBreaches(f *fleet) []string {
	type span struct{ sent, ran time.Time }
	var spans []span
	runs := f.runsOf()
	for _, r := range f.allRequests() {
		for _, run := range runs[r.id] {
			spans = append(spans, span{r.sent, run.at})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.sent.UnixNano(), b.sent.UnixNano()) })
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOvershoot) + quotaSlack
	most := 0
	var breaches []string
	for i, first := range spans {
		count := 0
		for _, s := range spans[i:] {
			if s.ran.Before(first.sent.Add(quotaWindow)) {
				count++
			}
		}
		most = max(most, count)
		if float64(count) > allowed {
			breaches = append(breaches, fmt.Sprintf("QUOTA: %d requests of the tenant were sent and run in the 5 s from %.3f s; %.0f are allowed",
				count, f.record.since(first.sent), allowed))
		}
	}
	f.record.note("most requests sent and run in 5 s: %d, allowed %.0f", most, allowed)
	return breaches
}
