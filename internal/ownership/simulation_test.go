package ownership_test

import (
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
)

// view is what one process or the platform has learned. It only grows.
type view struct {
	epochs  map[id.HostID]id.Epoch
	rosters []ownership.Roster
}

func (v view) clone() view {
	c := view{epochs: map[id.HostID]id.Epoch{}, rosters: slices.Clone(v.rosters)}
	for h, e := range v.epochs {
		c.epochs[h] = e
	}
	return c
}

// process is one incarnation on a slot. Its clock runs up to 5% fast.
type process struct {
	host         id.HostID
	state        *ownership.State
	view         view
	clockOffset  time.Duration
	clockRate    int  // clock ticks per 100 ticks of simulated time
	skipsRosters bool // the process learns only the newest of several rosters
	evidence     map[id.HostID]clock.Time
}

// reply is a response that has not yet been delivered to the process that sent the query.
type reply struct {
	to   *process
	from id.HostID
	sent clock.Time
	view view
}

// simulation runs several processes against one platform.
type simulation struct {
	now          time.Duration
	platform     view
	platformDown bool
	processes    []*process
	replies      []reply
	handovers    []struct {
		standing ownership.Standing
		to       *process
	}
	confirmed int
}

func (s *simulation) clock(p *process) clock.Time {
	return clock.Time((s.now*time.Duration(p.clockRate))/100 + p.clockOffset)
}

// merge merges a view into that of a process, with the rosters in the order of their revisions.
func (s *simulation) merge(p *process, v view) {
	for h, e := range v.epochs {
		p.view.epochs[h] = max(p.view.epochs[h], e)
		p.state.RecordEpoch(h, e)
	}
	if len(v.rosters) > len(p.view.rosters) {
		unknown := v.rosters[len(p.view.rosters):]
		if p.skipsRosters {
			unknown = unknown[len(unknown)-1:]
		}
		for _, r := range unknown {
			p.state.RosterChanged(r, s.clock(p))
		}
		p.view.rosters = slices.Clone(v.rosters)
	}
}

// deliver hands a reply to the process that sent the query, as an acknowledgement and as evidence of freshness.
func (s *simulation) deliver(r reply) {
	p := r.to
	s.merge(p, r.view)
	p.evidence[r.from] = max(p.evidence[r.from], r.sent)
	newest := r.view.rosters[len(r.view.rosters)-1].Revision
	for slot, e := range r.view.epochs {
		p.state.Acknowledged(ownership.Acknowledgement{From: r.from, Slot: slot, Epoch: e, Roster: newest}, s.clock(p))
	}
	s.confirmByMajority(p)
}

// confirmByMajority marks the process as fresh as of the latest time since which a majority of the roster has replied.
func (s *simulation) confirmByMajority(p *process) {
	roster := p.view.rosters[len(p.view.rosters)-1]
	var times []clock.Time
	for _, m := range roster.Members {
		if m.Host == p.host {
			times = append(times, s.clock(p))
		} else if t, ok := p.evidence[m.Host]; ok {
			times = append(times, t)
		}
	}
	if n := roster.Majority(); len(times) >= n {
		slices.Sort(times)
		p.state.RecordFreshness(times[len(times)-n])
	}
}

// start starts a process on a host and registers it with the platform.
func (s *simulation) start(host id.HostID, offset time.Duration, rate int) *process {
	p := &process{
		host: host, state: ownership.New(host), clockRate: rate, clockOffset: offset,
		view: view{epochs: map[id.HostID]id.Epoch{}}, evidence: map[id.HostID]clock.Time{},
	}
	s.platform.epochs[host]++
	p.state.Registered(ownership.Registration{Epoch: s.platform.epochs[host], Rosters: s.platform.rosters}, s.clock(p))
	p.view.rosters = slices.Clone(s.platform.rosters)
	s.merge(p, s.platform)
	s.processes = append(s.processes, p)
	return p
}

// changeRoster commits a roster that adds or removes each of the hosts in toggle.
func (s *simulation) changeRoster(hosts []id.HostID, toggle ...id.HostID) {
	last := s.platform.rosters[len(s.platform.rosters)-1]
	var members []ownership.Member
	for _, h := range hosts {
		if last.Contains(h) != slices.Contains(toggle, h) {
			members = append(members, ownership.Member{Host: h, FailureDomain: id.FailureDomain(h[:1])})
		}
	}
	if len(members) > 0 {
		s.platform.rosters = append(s.platform.rosters, ownership.NewRoster(last.Revision+1, last.Revision, members))
	}
}
