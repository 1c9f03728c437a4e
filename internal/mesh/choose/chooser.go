package choose

import (
	"maps"
	"math/rand/v2"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

const (
	// crossDomainPenalty is the utilization by which a host of another failure domain must be less busy to be
	// preferred where package locality does not decide.
	crossDomainPenalty = 0.3
	// lowUtilization is the utilization below which hosts count as equal. Preferring the least busy of them makes no
	// request faster, and entries that know of the same free hosts would leave the others without work.
	lowUtilization = 0.4
	// localBonus favors the entry's own host, which needs no network transfer.
	localBonus = 0.1
	// backoffPenalty ranks hosts in backoff behind all others without excluding them.
	backoffPenalty = 10
	// jitter spreads the entries' choices among hosts of similar cost.
	jitter = 0.1
)

// Chooser picks hosts by one entry's observations of them.
type Chooser struct {
	self   id.HostID
	domain id.FailureDomain
	random *rand.Rand
	hosts  map[id.HostID]*host
	// byService lists the hosts of each service.
	byService map[id.ServiceName][]*host
	// services holds the decisions on leaving the failure domain, by service.
	services map[id.ServiceName]*serviceState
	// regionOf returns the region of a failure domain, empty if it is not known.
	regionOf func(id.FailureDomain) string
}

// New returns a chooser without hosts for the entry on the host self.
func New(self id.HostID, domain id.FailureDomain, seed uint64) *Chooser {
	return &Chooser{
		self: self, domain: domain, random: rand.New(rand.NewPCG(seed, 0)),
		hosts: map[id.HostID]*host{}, byService: map[id.ServiceName][]*host{},
		services: map[id.ServiceName]*serviceState{},
		regionOf: func(id.FailureDomain) string { return "" },
	}
}

// SetRegions sets the function that returns the region of a failure domain, empty if it is not known.
func (c *Chooser) SetRegions(regionOf func(id.FailureDomain) string) {
	c.regionOf = regionOf
}

// SetView replaces the known hosts. Observations of a host that stays are kept; its load and backoff are reset if its
// target has changed.
func (c *Chooser) SetView(view *roster.View) {
	hosts := make(map[id.HostID]*host, len(view.Hosts()))
	byService := map[id.ServiceName][]*host{}
	for _, record := range view.Hosts() {
		h := c.hosts[record.Host]
		if h == nil {
			h = &host{}
		}
		if h.record.Target != record.Target {
			h.loadKnown, h.failures, h.backoffUntil = false, 0, 0
		}
		h.record, h.evacuated = record, view.Evacuated(record.Domain)
		hosts[record.Host] = h
		byService[record.Service] = append(byService[record.Service], h)
	}
	c.hosts, c.byService = hosts, byService
	maps.DeleteFunc(c.services, func(service id.ServiceName, _ *serviceState) bool { return byService[service] == nil })
}

// Pick returns the best host that meets a query. It is one inside the failure domain as long as one there has room. It
// returns none if the request should wait at a host of q.Refused instead, or if asking another host outside is in vain.
// Hosts in backoff come last.
func (c *Chooser) Pick(now clock.Time, q Query) (id.HostID, bool) {
	return c.pickByDomain(now, c.byService[q.Service], q, c.eligible(q))
}

// eligible returns the condition that a host must meet for a query.
func (c *Chooser) eligible(q Query) func(*host) bool {
	return func(h *host) bool {
		return q.eligible(h) && (!q.Regions.Limited() || q.Regions.Permit(c.regionOf(h.record.Domain)))
	}
}

// PickAmong returns the best of the given hosts.
func (c *Chooser) PickAmong(now clock.Time, among []id.HostID) (id.HostID, bool) {
	hosts := make([]*host, 0, len(among))
	for _, name := range among {
		if h := c.hosts[name]; h != nil {
			hosts = append(hosts, h)
		}
	}
	return c.best(now, hosts, c.penalty(now, hosts), func(h *host) bool { return h.serves(h.record.Service) })
}

// best returns the host of the lowest cost among those that are eligible. penalty is added to the cost of hosts of other
// failure domains.
func (c *Chooser) best(now clock.Time, hosts []*host, penalty float64, eligible func(*host) bool) (id.HostID, bool) {
	var best *host
	var bestCost float64
	for _, h := range hosts {
		if !eligible(h) {
			continue
		}
		if cost := c.cost(now, h, penalty); best == nil || cost < bestCost {
			best, bestCost = h, cost
		}
	}
	if best == nil {
		return "", false
	}
	return best.record.Host, true
}

// cost returns the value by which hosts are compared; lower is better.
func (c *Chooser) cost(now clock.Time, h *host, penalty float64) float64 {
	cost := max(h.utilization(now), lowUtilization) + jitter*c.random.Float64()
	if h.record.Domain != c.domain {
		cost += penalty
	}
	if h.record.Host == c.self {
		cost -= localBonus
	}
	if h.backedOff(now) {
		cost += backoffPenalty
	}
	return cost
}

// Started counts an attempt in flight at a host.
func (c *Chooser) Started(name id.HostID) {
	if h := c.hosts[name]; h != nil {
		h.inFlight++
		c.countAttempt(h)
	}
}

// Finished ends an attempt that Started counted.
func (c *Chooser) Finished(name id.HostID) {
	if h := c.hosts[name]; h != nil && h.inFlight > 0 {
		h.inFlight--
	}
}

// Observe records an observation of a host.
func (c *Chooser) Observe(now clock.Time, name id.HostID, r Observation) {
	h := c.hosts[name]
	if h == nil {
		return
	}
	if r.LoadKnown {
		h.load, h.loadAt, h.loadKnown = r.Load, now, true
	}
	c.observeLocality(now, h, r)
	switch r.Kind {
	case Answered, Busy:
		h.failures, h.backoffUntil = 0, 0
	case Declined, Overdue:
		h.failures = 0
		backoff := r.Backoff
		if backoff == 0 {
			backoff = declinedBackoff
		}
		h.backoffUntil = max(h.backoffUntil, now.Add(backoff))
	case Unreachable:
		h.markUnreachable(now)
	case Started, Ended:
	}
}

// IsUnreachable reports whether the latest attempt to reach a host has failed.
func (c *Chooser) IsUnreachable(name id.HostID) bool {
	h := c.hosts[name]
	return h != nil && h.failures > 0
}

// ServingTargets returns the number of serving targets of a service, evacuated ones included: the budgets that are divided by
// this number must not grow on some hosts before the gates of an evacuated failure domain have given up their part.
func (c *Chooser) ServingTargets(service id.ServiceName) int {
	n := 0
	for _, h := range c.byService[service] {
		if h.hasTarget(service) {
			n++
		}
	}
	return n
}

// minLostFailures is the number of failures in a row below which no host counts as lost: a long time without requests
// proves nothing.
const minLostFailures = 8

// LostHosts returns the hosts that have been unreachable for at least the given time.
func (c *Chooser) LostHosts(now clock.Time, after time.Duration) []id.HostID {
	var lost []id.HostID
	for name, h := range c.hosts {
		if h.failures >= minLostFailures && now.Sub(h.failingSince) >= after {
			lost = append(lost, name)
		}
	}
	return lost
}
