package ownership_test

import (
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
)

// knowledge is what one process, or the platform, knows; it only grows.
type knowledge struct {
	epochs  map[id.HostID]id.Epoch
	rosters []ownership.Roster
}

func (k knowledge) clone() knowledge {
	c := knowledge{epochs: map[id.HostID]id.Epoch{}, rosters: slices.Clone(k.rosters)}
	for h, e := range k.epochs {
		c.epochs[h] = e
	}
	return c
}

// process is one incarnation on a slot, with a clock up to 5% fast and messages that arrive late or never.
type process struct {
	host     id.HostID
	state    *ownership.State
	known    knowledge
	offset   time.Duration
	rate     int  // clock ticks per 100 ticks of true time
	skips    bool // the process learns only the newest of several rosters
	evidence map[id.HostID]clock.Time
}

// reply is an answer on its way back to the process that asked.
type reply struct {
	to   *process
	from id.HostID
	sent clock.Time
	know knowledge
}

type world struct {
	now       time.Duration
	platform  knowledge
	down      bool
	processes []*process
	replies   []reply
	given     []struct {
		standing ownership.Standing
		to       *process
	}
	confirmed int
}

func (w *world) clock(p *process) clock.Time {
	return clock.Time((w.now*time.Duration(p.rate))/100 + p.offset)
}

// learn merges knowledge into a process in the order of platform revisions.
func (w *world) learn(p *process, k knowledge) {
	for h, e := range k.epochs {
		p.known.epochs[h] = max(p.known.epochs[h], e)
		p.state.HeardEpoch(h, e)
	}
	if len(k.rosters) > len(p.known.rosters) {
		unknown := k.rosters[len(p.known.rosters):]
		if p.skips {
			unknown = unknown[len(unknown)-1:]
		}
		for _, r := range unknown {
			p.state.RosterChanged(r, w.clock(p))
		}
		p.known.rosters = slices.Clone(k.rosters)
	}
}

// deliver gives a reply to its asker, which takes it as acknowledgement and evidence.
func (w *world) deliver(r reply) {
	p := r.to
	w.learn(p, r.know)
	p.evidence[r.from] = max(p.evidence[r.from], r.sent)
	newest := r.know.rosters[len(r.know.rosters)-1].Revision
	for slot, e := range r.know.epochs {
		p.state.Acknowledged(ownership.Acknowledgement{From: r.from, Slot: slot, Epoch: e, Roster: newest}, w.clock(p))
	}
	w.majority(p)
}

// majority confirms the process as of the time of its newest majority of answers.
func (w *world) majority(p *process) {
	roster := p.known.rosters[len(p.known.rosters)-1]
	var times []clock.Time
	for _, m := range roster.Members {
		if m.Host == p.host {
			times = append(times, w.clock(p))
		} else if t, ok := p.evidence[m.Host]; ok {
			times = append(times, t)
		}
	}
	if n := roster.Majority(); len(times) >= n {
		slices.Sort(times)
		p.state.Fresh(times[len(times)-n])
	}
}

// start boots a process on a host and registers it if the platform answers.
func (w *world) start(host id.HostID, offset time.Duration, rate int) *process {
	p := &process{
		host: host, state: ownership.New(host), rate: rate, offset: offset,
		known: knowledge{epochs: map[id.HostID]id.Epoch{}}, evidence: map[id.HostID]clock.Time{},
	}
	w.platform.epochs[host]++
	p.state.Registered(ownership.Registration{Epoch: w.platform.epochs[host], Rosters: w.platform.rosters}, w.clock(p))
	p.known.rosters = slices.Clone(w.platform.rosters)
	w.learn(p, w.platform)
	w.processes = append(w.processes, p)
	return p
}

// changeRoster commits a roster that differs by the given hosts.
func (w *world) changeRoster(hosts []id.HostID, toggle ...id.HostID) {
	last := w.platform.rosters[len(w.platform.rosters)-1]
	var members []ownership.Member
	for _, h := range hosts {
		if last.Contains(h) != slices.Contains(toggle, h) {
			members = append(members, ownership.Member{Host: h, FailureDomain: id.FailureDomain(h[:1])})
		}
	}
	if len(members) > 0 {
		w.platform.rosters = append(w.platform.rosters, ownership.NewRoster(last.Revision+1, last.Revision, members))
	}
}
