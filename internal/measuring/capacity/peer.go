package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/gossip"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/registration"
)

const (
	// targetSlots is the concurrency of a simulated target.
	targetSlots = 5
	// idlePeerConnections and idlePeerTimeout are those of a daemon's control client.
	idlePeerConnections = 2
	idlePeerTimeout     = 30 * time.Second
)

// peer is one simulated host: the real gossip service with a made-up record.
type peer struct {
	number   int
	owner    registration.Owner
	listener net.Listener
	gossip   *gossip.Service
	targets  []membership.Target
	random   *rand.Rand
}

// newPeer opens a simulated host's address.
func newPeer(number int, size Size) (*peer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.New("listen for peers", "", err)
	}
	p := &peer{
		number:   number,
		listener: listener,
		random:   rand.New(rand.NewPCG(uint64(number), 1)),
		owner: registration.Owner{
			Host:          hostName(number),
			FailureDomain: domainName(number),
			Incarnation:   membership.NewIncarnation(time.Now(), uint16(number)),
			Peer:          listener.Addr().String(),
		},
	}
	for n := number; n < size.Targets; n += size.Hosts {
		service := serviceName(n % size.Services)
		p.targets = append(p.targets, membership.Target{
			Name: fmt.Sprintf("%s-%s-%d", service, p.owner.Host, n), Service: service,
			State: membership.TargetServing, Slots: targetSlots,
		})
	}
	return p, nil
}

// start builds the gossip service.
func (p *peer) start(w *Standins, next http.RoundTripper) {
	p.gossip = gossip.New(gossip.Config{
		Membership: membership.Config{
			Self:          p.owner.Host,
			FailureDomain: p.owner.FailureDomain,
			Addresses:     membership.Addresses{Control: p.owner.Peer, Hop: p.owner.Peer},
			Incarnation:   p.owner.Incarnation,
			Period:        w.config.GossipInterval,
			Seed:          uint64(p.number) + 1,
			Riders:        []membership.Rider{catalogueRider{replica: w.operator.replica}, revocationRider{}},
		},
		Seeds:  []string{w.peers[(p.number+1)%len(w.peers)].owner.Peer, w.peers[0].owner.Peer},
		Scheme: "http",
		Client: &http.Client{Transport: &direct{handlers: w.handlers, next: next}},
		Clock:  w.clock,
		Log:    zerolog.Nop(),
	})
	w.handlers[p.owner.Peer] = p.gossip.Handler()
	p.publish(w.operator.replica.Snapshot(), w.clock.Now())
}

// publish publishes the epoch, the catalogue revision and the targets.
func (p *peer) publish(snapshot *catalogue.Snapshot, now clock.Time) {
	roster, _ := snapshot.RosterRevisions()
	p.gossip.Update(func(t *membership.Table) {
		t.Confirm()
		t.NotePlatformRead(now)
		t.SetTargets(p.targets)
		t.SetStatus(membership.Status{
			Epoch:              p.owner.Epoch,
			CatalogueRevision:  snapshot.Revision(),
			RosterAcknowledged: roster,
		})
	})
}

// summarize changes the published latency of one target.
func (p *peer) summarize() {
	if len(p.targets) == 0 {
		return
	}
	n := p.random.IntN(len(p.targets))
	changed := append([]membership.Target(nil), p.targets...)
	changed[n].Latency = membership.CoarseLatency(10 + p.random.IntN(20))
	p.targets = changed
}

// run takes part in the exchanges until ctx ends. Each target's summary changes
// once per interval, the most that a daemon publishes in steady work.
func (p *peer) run(ctx context.Context, w *Standins) {
	go p.gossip.Run(ctx)
	interval := w.config.SummaryInterval / time.Duration(max(1, len(p.targets)))
	due := time.Now().Add(time.Duration(p.random.Int64N(int64(interval))))
	ticker := time.NewTicker(w.config.GossipInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.After(due) {
				due = due.Add(interval)
				p.summarize()
			}
			p.publish(w.operator.replica.Snapshot(), w.clock.Now())
		}
	}
}

// restarted takes over a registration with a higher epoch.
func (p *peer) restarted(host id.HostID, epoch id.Epoch) {
	p.gossip.Update(func(t *membership.Table) { t.RaiseEpoch(host, epoch) })
}
