package daemon

import (
	"sync/atomic"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/freshness"
	"buckthornlatch.example/buckthornlatch/internal/gossip"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// freshnessCache holds the latest freshness verdict for the request path.
type freshnessCache struct {
	catalogue snapshotSource
	gossip    *gossip.Service
	clock     clock.Clock
	current   atomic.Pointer[freshness.Verdict]
}

// verdict returns the latest verdict; the zero verdict is not fresh.
func (f *freshnessCache) verdict() freshness.Verdict {
	if v := f.current.Load(); v != nil {
		return *v
	}
	return freshness.Verdict{}
}

// update evaluates the freshness rule. It is called after membership and catalogue changes, and
// every upkeepPeriod.
func (f *freshnessCache) update() freshness.Verdict {
	hosts := f.catalogue.Snapshot().Roster()
	roster := make([]id.HostID, len(hosts))
	for i, host := range hosts {
		roster[i] = host.ID
	}
	var verdict freshness.Verdict
	f.gossip.View(func(t *membership.Table) {
		verdict = freshness.Evaluate(roster, t, f.clock.Now())
	})
	f.current.Store(&verdict)
	return verdict
}
