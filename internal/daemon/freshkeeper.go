package daemon

import (
	"sync/atomic"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/freshness"
	"buckthornlatch.example/buckthornlatch/internal/gossip"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// freshKeeper keeps the latest freshness verdict for the request path.
type freshKeeper struct {
	catalogue snapshots
	gossip    *gossip.Service
	clock     clock.Clock
	current   atomic.Pointer[freshness.Verdict]
}

// verdict returns the latest verdict; the zero verdict is not fresh.
func (f *freshKeeper) verdict() freshness.Verdict {
	if v := f.current.Load(); v != nil {
		return *v
	}
	return freshness.Verdict{}
}

// update evaluates the rule. It is called after exchanges, platform reads and once a second.
func (f *freshKeeper) update() freshness.Verdict {
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
