package choose

import (
	"math/rand/v2"
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

const (
	// farPenalty is the use by which a host of another failure domain must be less busy to be preferred.
	farPenalty = 0.3
	// comfortable is the use below which hosts count as alike. To prefer the least busy one of those serves nobody, and
	// entries that know the same free hosts would leave the others without work.
	comfortable = 0.4
	// ownBonus prefers the entry's own host, to which no bytes travel.
	ownBonus = 0.1
	// restPenalty puts resting hosts behind all others without ruling them out.
	restPenalty = 10
	// jitter spreads the entries' choices among hosts that look alike.
	jitter = 0.1
)

// Chooser is one entry's knowledge of all hosts.
type Chooser struct {
	self   id.HostID
	domain id.FailureDomain
	random *rand.Rand
	hosts  map[id.HostID]*host
	// byService lists the hosts of each service.
	byService map[id.ServiceName][]*host
}

// New returns a chooser without hosts for the entry on a host.
func New(self id.HostID, domain id.FailureDomain, seed uint64) *Chooser {
	return &Chooser{
		self: self, domain: domain, random: rand.New(rand.NewPCG(seed, 0)),
		hosts: map[id.HostID]*host{}, byService: map[id.ServiceName][]*host{},
	}
}

// SetView replaces the known hosts. What was learned about hosts that stay is kept.
func (c *Chooser) SetView(view *roster.View) {
	hosts := make(map[id.HostID]*host, len(view.Hosts()))
	byService := map[id.ServiceName][]*host{}
	for _, record := range view.Hosts() {
		h := c.hosts[record.Host]
		if h == nil {
			h = &host{}
		}
		if h.record.Target != record.Target {
			h.loadSeen, h.failures, h.restsUntil = false, 0, 0
		}
		h.record = record
		hosts[record.Host] = h
		byService[record.Service] = append(byService[record.Service], h)
	}
	c.hosts, c.byService = hosts, byService
}

// Pick returns the best host for a service that is not excluded. Resting hosts come last.
func (c *Chooser) Pick(now clock.Time, service id.ServiceName, exclude []id.HostID) (id.HostID, bool) {
	return c.best(now, c.byService[service], func(h *host) bool {
		return h.takesWork(service) && !slices.Contains(exclude, h.record.Host)
	})
}

// Least returns the best of the given hosts.
func (c *Chooser) Least(now clock.Time, among []id.HostID) (id.HostID, bool) {
	hosts := make([]*host, 0, len(among))
	for _, name := range among {
		if h := c.hosts[name]; h != nil {
			hosts = append(hosts, h)
		}
	}
	return c.best(now, hosts, func(h *host) bool { return h.takesWork(h.record.Service) })
}

// best returns the host of the lowest cost among those that are eligible.
func (c *Chooser) best(now clock.Time, hosts []*host, eligible func(*host) bool) (id.HostID, bool) {
	var best *host
	var bestCost float64
	for _, h := range hosts {
		if !eligible(h) {
			continue
		}
		if cost := c.cost(now, h); best == nil || cost < bestCost {
			best, bestCost = h, cost
		}
	}
	if best == nil {
		return "", false
	}
	return best.record.Host, true
}

// cost orders hosts; lower is better.
func (c *Chooser) cost(now clock.Time, h *host) float64 {
	cost := max(h.use(now), comfortable) + jitter*c.random.Float64()
	if h.record.Domain != c.domain {
		cost += farPenalty
	}
	if h.record.Host == c.self {
		cost -= ownBonus
	}
	if h.rests(now) {
		cost += restPenalty
	}
	return cost
}

// Started counts an attempt in flight at a host.
func (c *Chooser) Started(name id.HostID) {
	if h := c.hosts[name]; h != nil {
		h.inFlight++
	}
}

// Finished ends an attempt that Started counted.
func (c *Chooser) Finished(name id.HostID) {
	if h := c.hosts[name]; h != nil && h.inFlight > 0 {
		h.inFlight--
	}
}

// Report records an observation of a host.
func (c *Chooser) Report(now clock.Time, name id.HostID, r Report) {
	h := c.hosts[name]
	if h == nil {
		return
	}
	if r.LoadKnown {
		h.load, h.loadAt, h.loadSeen = r.Load, now, true
	}
	switch r.Kind {
	case Answered, Busy:
		h.failures, h.restsUntil = 0, 0
	case Declined, Overdue:
		h.failures = 0
		rest := r.Rest
		if rest == 0 {
			rest = declinedRest
		}
		h.restsUntil = max(h.restsUntil, now.Add(rest))
	case Unreachable:
		h.unreachable(now)
	case Ended:
	}
}

// Unreached reports whether the latest attempt to reach a host has failed.
func (c *Chooser) Unreached(name id.HostID) bool {
	h := c.hosts[name]
	return h != nil && h.failures > 0
}

// Targets returns the number of serving targets of a service.
func (c *Chooser) Targets(service id.ServiceName) int {
	n := 0
	for _, h := range c.byService[service] {
		if h.takesWork(service) {
			n++
		}
	}
	return n
}

// lostFailures is the number of failures in a row without which no host counts as lost: a long time without requests
// proves nothing.
const lostFailures = 8

// Lost returns the hosts that could not be reached in any attempt for a time.
func (c *Chooser) Lost(now clock.Time, after time.Duration) []id.HostID {
	var lost []id.HostID
	for name, h := range c.hosts {
		if h.failures >= lostFailures && now.Sub(h.lostAt) >= after {
			lost = append(lost, name)
		}
	}
	return lost
}
