package daemon

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/gossip"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
	"buckthornlatch.example/buckthornlatch/internal/permits"
)

// permitHomes places the permit home of each service, and provides the tenure and the size of a
// service to this daemon's own permit home.
type permitHomes struct {
	duties    *duties
	peers     *peerDirectory
	gossip    *gossip.Service
	catalogue snapshotSource
	clock     clock.Clock
}

// permitDuty returns the duty of the permit home of a service.
func permitDuty(service id.ServiceName) ownership.Duty {
	return ownership.Duty{Kind: ownership.PermitHome, Name: string(service)}
}

// Home implements permits.Placement.
func (p *permitHomes) Home(service id.ServiceName) (string, bool) {
	homes := p.duties.placement.Load().Homes(permitDuty(service), 1)
	if len(homes) == 0 {
		return "", false
	}
	return p.peers.Address(homes[0])
}

// Confirmed implements permits.Duty. A roster change starts a new term, because another host may
// have had the duty in between.
func (p *permitHomes) Confirmed(service id.ServiceName, now clock.Time) (permits.Tenure, bool) {
	d := p.duties
	d.mu.Lock()
	defer d.mu.Unlock()
	epoch, held := d.state.Epoch(d.self)
	if !held || !d.state.Confirm(permitDuty(service), 1, d.self, now).OK() {
		return permits.Tenure{}, false
	}
	roster := d.placement.Load().Roster()
	return permits.Tenure{
		Epoch: epoch,
		Term:  uint64(roster.Revision),
		First: epoch == 1 && roster.Previous == 0,
	}, true
}

// Size implements permits.Services.
func (p *permitHomes) Size(service id.ServiceName) (n int, floor float64) {
	found := p.catalogue.Snapshot().Service(service)
	if found == nil {
		return 0, 1
	}
	p.gossip.View(func(t *membership.Table) {
		now := p.clock.Now()
		for _, record := range t.Records() {
			if t.Suspected(record.Host, now) {
				continue
			}
			for _, target := range record.Targets {
				if target.Service == service && isInService(target.State) {
					n++
				}
			}
		}
	})
	return n, found.MinHealthyFraction
}

// isInService reports whether a target counts towards the size of its service.
func isInService(s membership.TargetState) bool {
	return s == membership.TargetServing || s == membership.TargetEjected || s == membership.TargetTrial
}
