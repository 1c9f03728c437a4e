package balancer

import (
	"math/rand/v2"
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// Balancer chooses targets for one entry. It is not safe for concurrent use.
type Balancer struct {
	config Config
	random *rand.Rand
	gates  map[id.HostID]*gate
	pools  map[id.ServiceName]*pool
	// failing lists the gates whose path failed; each is due for a trial attempt after its backoff.
	failing []*gate
}

// New returns a balancer without targets.
func New(config Config) *Balancer {
	return &Balancer{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, 2)),
		gates:  make(map[id.HostID]*gate),
		pools:  make(map[id.ServiceName]*pool),
	}
}

// SetHost updates a host from its membership record; suspected says that this daemon suspects the
// host of having failed. A call that changes neither returns at once.
func (b *Balancer) SetHost(record *membership.Record, suspected bool, now clock.Time) {
	g := b.gates[record.Host]
	if g == nil {
		g = &gate{host: record.Host}
		b.gates[record.Host] = g
	}
	if g.record == record && g.suspected == suspected {
		return
	}
	if g.record != nil && g.record.Incarnation != record.Incarnation {
		// A new process has new connections, so path failures of the old one no longer apply.
		g.path.succeeded()
		b.setFailing(g, false)
	}
	g.record = record
	g.suspected = suspected
	g.address = record.Addresses.Hop
	g.failureDomain = record.FailureDomain
	b.setTargets(g, record.Targets, now)
	b.refresh(g)
}

// RemoveHost removes a host and its targets.
func (b *Balancer) RemoveHost(host id.HostID) {
	g := b.gates[host]
	if g == nil {
		return
	}
	for _, t := range slices.Clone(g.targets) {
		b.remove(t)
	}
	delete(b.gates, host)
	b.setFailing(g, false)
}

// setFailing adds a gate to, or removes it from, the list of failing gates.
func (b *Balancer) setFailing(g *gate, failing bool) {
	at := slices.Index(b.failing, g)
	if failing && at < 0 {
		b.failing = append(b.failing, g)
	}
	if !failing && at >= 0 {
		b.failing = slices.Delete(b.failing, at, at+1)
	}
}

// Hosts returns the known hosts.
func (b *Balancer) Hosts() []id.HostID {
	hosts := make([]id.HostID, 0, len(b.gates))
	for host := range b.gates {
		hosts = append(hosts, host)
	}
	return hosts
}

// setTargets replaces a gate's targets and keeps the measurements of those that stay.
func (b *Balancer) setTargets(g *gate, infos []membership.Target, now clock.Time) {
	listed := make(map[string]bool, len(infos))
	for _, info := range infos {
		listed[info.Name] = true
		t := g.target(info.Name)
		if t != nil && t.service != info.Service {
			b.remove(t)
			t = nil
		}
		if t == nil {
			t = b.add(g, info, now)
		}
		if info.State == membership.TargetServing && t.info.State != membership.TargetServing {
			t.servingSince = now
		}
		t.info = info
	}
	for _, t := range slices.Clone(g.targets) {
		if !listed[t.id.Name] {
			b.remove(t)
		}
	}
}

// add adds a new target to its gate and pool.
func (b *Balancer) add(g *gate, info membership.Target, now clock.Time) *target {
	t := &target{
		id:             id.TargetID{Host: g.host, Name: info.Name},
		service:        info.Service,
		gate:           g,
		info:           info,
		servingSince:   now,
		allIndex:       -1,
		availableIndex: -1,
		localIndex:     -1,
		trialIndex:     -1,
	}
	g.targets = append(g.targets, t)
	p := b.pools[info.Service]
	if p == nil {
		p = &pool{}
		b.pools[info.Service] = p
	}
	p.setKnown(t, true)
	return t
}

// remove removes a target from its gate and pool.
func (b *Balancer) remove(t *target) {
	p := b.pools[t.service]
	p.setAvailable(t, false, false)
	p.setTrial(t, false)
	p.setKnown(t, false)
	t.gate.targets = slices.DeleteFunc(t.gate.targets, func(other *target) bool { return other == t })
	if len(p.all) == 0 {
		delete(b.pools, t.service)
	}
}

// refresh updates the pool membership of a gate's targets after its state changed.
func (b *Balancer) refresh(g *gate) {
	available := g.available()
	local := g.failureDomain == b.config.FailureDomain
	for _, t := range g.targets {
		p := b.pools[t.service]
		p.setAvailable(t, available && t.selectable(), local)
		p.setTrial(t, available && t.info.State == membership.TargetTrial)
	}
}
