package choose

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/locality"
)

const (
	// roomBelow is the estimated utilization below which a host may have room.
	roomBelow = 0.95
	// clearRoomBelow is the utilization below which it has so despite refusals of other hosts of its domain.
	clearRoomBelow = 0.7
	// lostFactor times the longest wait that a request bears stands for a longer one, which loses the request.
	lostFactor = 3
)

// decider returns the decider of a service.
func (c *Chooser) decider(now clock.Time, service id.ServiceName) *locality.Decider {
	s := c.services[service]
	if s == nil {
		s = &serviceState{Decider: locality.New(now)}
		c.services[service] = s
	}
	return s.Decider
}

// inside reports whether a host is in the entry's failure domain.
func (c *Chooser) inside(h *host) bool {
	return h.record.Domain == c.domain
}

// pickByDomain picks among the eligible hosts of a service, inside the failure domain or outside.
func (c *Chooser) pickByDomain(now clock.Time, hosts []*host, q Query, eligible func(*host) bool) (id.HostID, bool) {
	decider := c.decider(now, q.Service)
	refusedInside, refusedOutside := c.countByDomain(q.Refused)
	insideBelow := clearRoomBelow
	if refusedInside == 0 {
		insideBelow = roomBelow - (roomBelow-clearRoomBelow)*decider.RefusedInside(now)
	}
	canStay := refusedInside > 0
	near, found := c.best(now, hosts, crossDomainPenalty, func(h *host) bool {
		if !c.inside(h) || !eligible(h) || h.backedOff(now) {
			return false
		}
		canStay = true
		return h.utilization(now) < insideBelow
	})
	if found {
		return near, true
	}
	if !canStay {
		near, far := c.countByDomain(q.Exclude)
		if near > 0 && far > 0 && q.Draw >= decider.ShareAfter(now, far) {
			// Hosts inside did not serve the request, nor did one outside, where hardly any attempt finds room.
			return "", false
		}
		return c.best(now, hosts, crossDomainPenalty, eligible)
	}
	decider.NoRoom(now, q.Patience)
	leaves := q.Draw < decider.ShareAfter(now, refusedOutside)
	if leaves {
		if far, found := c.bestOutside(now, hosts, eligible); found {
			return far, true
		}
	}
	near, found = c.best(now, hosts, crossDomainPenalty, func(h *host) bool { return c.inside(h) && eligible(h) })
	if found || !leaves {
		return near, found
	}
	return c.best(now, hosts, crossDomainPenalty, eligible)
}

// countByDomain counts the hosts inside the failure domain and outside.
func (c *Chooser) countByDomain(names []id.HostID) (near, far int) {
	for _, name := range names {
		switch h := c.hosts[name]; {
		case h == nil:
		case c.inside(h):
			near++
		default:
			far++
		}
	}
	return near, far
}

// penalty returns what the cost of hosts outside is raised by where a request has to wait at one of the given hosts, which
// serve one service. If many attempts may leave, waiting outside is no worse.
func (c *Chooser) penalty(now clock.Time, hosts []*host) float64 {
	if len(hosts) == 0 {
		return crossDomainPenalty
	}
	return crossDomainPenalty * (1 - c.decider(now, hosts[0].record.Service).Share(now))
}

// bestOutside returns the best eligible host outside the failure domain that may have room, or is clearly less busy than
// all hosts inside.
func (c *Chooser) bestOutside(now clock.Time, hosts []*host, eligible func(*host) bool) (id.HostID, bool) {
	least := math.Inf(1)
	for _, h := range hosts {
		if c.inside(h) && h.serves(h.record.Service) && !h.backedOff(now) {
			least = min(least, h.utilization(now))
		}
	}
	below := max(roomBelow, least-crossDomainPenalty)
	return c.best(now, hosts, crossDomainPenalty, func(h *host) bool {
		return !c.inside(h) && eligible(h) && !h.backedOff(now) && h.utilization(now) < below
	})
}

// StayLimit returns how long a request should wait for a slot at a host before it leaves the failure domain; there is no
// limit if hardly any request gains by leaving. It returns false if the host is outside or the request cannot leave.
func (c *Chooser) StayLimit(now clock.Time, name id.HostID, q Query) (time.Duration, bool) {
	h := c.hosts[name]
	if h == nil || !c.inside(h) {
		return 0, false
	}
	_, found := c.bestOutside(now, c.byService[q.Service], c.eligible(q))
	d := c.decider(now, q.Service)
	if d.Share(now) <= locality.MinShare {
		return math.MaxInt64, found
	}
	return d.Bound(now, q.Patience), found
}

// observeLocality passes an observation to the decider of the host's service.
func (c *Chooser) observeLocality(now clock.Time, h *host, r Observation) {
	d := c.decider(now, h.record.Service)
	outside := !c.inside(h)
	switch {
	case r.Kind == Started && r.Queued:
		if !outside {
			d.Waited(now, r.Took)
		}
	case r.Kind == Started:
		d.Latency(now, outside, r.Took)
		d.Asked(now, outside, true, 0)
	case r.Kind == Busy && r.Backoff > 0:
		wait := r.Backoff
		if r.MaxWait > 0 && wait > r.MaxWait {
			// The request cannot be served there at all.
			wait = max(wait, lostFactor*r.MaxWait)
		}
		d.Asked(now, outside, false, wait)
	case r.Kind == Busy && r.Queued && !outside:
		d.Waited(now, r.Took)
	case r.Kind == Declined && r.Admitted:
		if outside {
			d.Declined(now)
		}
	case r.Kind == Declined:
		d.Asked(now, outside, false, locality.SuspectedWait)
	case r.Kind == Unreachable:
		d.Asked(now, outside, false, 0)
	}
}

// Leaving tells how the attempts at a service are divided.
type Leaving struct {
	// Share is the share of the attempts without room in the failure domain that may leave it.
	Share float64
	// Inside and Outside count the attempts inside the failure domain and outside.
	Inside, Outside int64
}

// serviceState is what a chooser knows of a service.
type serviceState struct {
	*locality.Decider
	inside, outside int64
}

// Leaving returns how the attempts at each service in use are divided.
func (c *Chooser) Leaving(now clock.Time) map[id.ServiceName]Leaving {
	all := make(map[id.ServiceName]Leaving, len(c.services))
	for service, s := range c.services {
		all[service] = Leaving{Share: s.Share(now), Inside: s.inside, Outside: s.outside}
	}
	return all
}

// countAttempt counts an attempt at a host.
func (c *Chooser) countAttempt(h *host) {
	s := c.services[h.record.Service]
	switch {
	case s == nil:
	case c.inside(h):
		s.inside++
	default:
		s.outside++
	}
}
