package daemon

import (
	"context"

	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/permits"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
)

// provisionHealth builds the outlier detection of the host's targets (the judge), the permit home
// with its client, and the quarantine.
func (d *Daemon) provisionHealth() {
	host := id.HostID(d.settings.Host.Name)
	d.judge = ejection.NewShared(ejection.NewDetector(
		ejection.Holder{Host: host, Incarnation: d.incarnation}, ejection.DefaultPolicy()))
	d.quarantine = quarantine.NewShared(quarantine.Config{Host: host, Incarnation: d.incarnation}, d.clock)
	d.health = &health{
		clock:      d.clock,
		judge:      d.judge,
		quarantine: d.quarantine,
		probe:      func(t id.TargetID) { d.gate.Probe(context.Background(), t) },
		announced:  make(map[id.TargetID]id.ServiceName),
	}
	homes := &permitHomes{
		duties:    d.duties,
		peers:     d.peers,
		gossip:    d.gossip,
		catalogue: d.syncer,
		clock:     d.clock,
	}
	d.permitHome = permits.NewServer(d.clock, homes, homes)
	d.permits = permits.NewClient(permits.Config{
		Clock:      d.clock,
		Judge:      d.judge,
		Placement:  homes,
		Local:      d.permitHome,
		OwnAddress: d.listeners.peer.Addr().String(),
		HTTP:       d.controlClient,
		Scheme:     d.peerScheme(),
		Log:        d.log,
	})
}
