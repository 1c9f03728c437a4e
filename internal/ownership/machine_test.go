package ownership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
)

// check fails if two processes may perform the same duty at once.
func (s *simulation) check(t *rapid.T) {
	for d := range 4 {
		duty := ownership.Duty{Kind: ownership.PermitHome, Name: fmt.Sprint("service-", d)}
		var holders []string
		for i, p := range s.processes {
			for slot := range s.platform.epochs {
				if p.state.Confirm(duty, 1, slot, s.clock(p)).OK() {
					holders = append(holders, fmt.Sprintf("process %d on %s for %s", i, p.host, slot))
				}
			}
		}
		s.confirmed += len(holders)
		if len(holders) > 1 {
			t.Fatalf("%s is held by %v", duty.Name, holders)
		}
	}
}

// confirmations counts over all runs, so that the test fails if nothing is ever confirmed.
var confirmations int

// Guards against two processes that perform the same duty at once, under restarts, pauses, partitions,
// platform outages, clock drift, roster changes and interrupted handovers.
func TestDutyHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []id.HostID{"a1", "a2", "b1", "b2", "c1"}
		s := &simulation{platform: view{epochs: map[id.HostID]id.Epoch{}}}
		var first []ownership.Member
		for _, h := range hosts[:rapid.IntRange(3, 5).Draw(t, "roster size")] {
			first = append(first, ownership.Member{Host: h, FailureDomain: id.FailureDomain(h[:1])})
		}
		s.platform.rosters = []ownership.Roster{ownership.NewRoster(1, catalogue.Revision(0), first)}
		rates := rapid.SampledFrom([]int{100, 105})
		for _, h := range hosts {
			s.start(h, 0, rates.Draw(t, "rate")).skipsRosters = rapid.Bool().Draw(t, "skips")
		}
		pick := func(t *rapid.T) *process {
			return s.processes[rapid.IntRange(0, len(s.processes)-1).Draw(t, "process")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { s.check(t) },
			"advance": func(t *rapid.T) {
				s.now += time.Duration(rapid.IntRange(1, 60).Draw(t, "deciseconds")) * 100 * time.Millisecond
			},
			"advance by most of a term": func(*rapid.T) { s.now += ownership.ConfirmationTerm - 200*time.Millisecond },
			"exchange with all":         func(t *rapid.T) { s.exchange(t, pick(t)) },
			"deliver late": func(t *rapid.T) {
				if n := len(s.replies); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "reply")
					s.deliver(s.replies[i])
					s.replies = slices.Delete(s.replies, i, i+1)
				}
			},
			"read platform": func(t *rapid.T) {
				p := pick(t)
				if !s.platformDown {
					s.merge(p, s.platform)
					p.state.RecordFreshness(s.clock(p))
				}
			},
			"toggle platform": func(*rapid.T) { s.platformDown = !s.platformDown },
			"pause noticed":   func(t *rapid.T) { pick(t).state.ClearFreshness() },
			"restart": func(t *rapid.T) {
				if !s.platformDown && len(s.processes) < 12 {
					h := rapid.SampledFrom(hosts).Draw(t, "host")
					s.start(h, time.Duration(rapid.IntRange(0, 50).Draw(t, "offset"))*time.Second, rates.Draw(t, "rate"))
				}
			},
			"change roster": func(t *rapid.T) {
				if !s.platformDown && len(s.platform.rosters) < 4 {
					s.changeRoster(hosts, rapid.SliceOfNDistinct(rapid.SampledFrom(hosts), 1, 4, rapid.ID[id.HostID]).Draw(t, "host")...)
				}
			},
			"release": func(t *rapid.T) {
				p := pick(t)
				slot := rapid.SampledFrom(hosts).Draw(t, "slot")
				if standing, ok := p.state.Release(slot, s.clock(p)); ok {
					s.handovers = append(s.handovers, struct {
						standing ownership.Standing
						to       *process
					}{standing, pick(t)})
				}
			},
			"receive": func(t *rapid.T) {
				if n := len(s.handovers); n > 0 {
					g := s.handovers[n-1]
					s.handovers = s.handovers[:n-1]
					if g.to.host == g.standing.Slot {
						g.to.state.DelegateReturned(g.standing, s.clock(g.to))
					} else {
						g.to.state.DelegateAccepted(g.standing)
					}
				}
			},
		})
		confirmations += s.confirmed
	})
	if confirmations == 0 {
		t.Fatal("no duty was ever confirmed")
	}
}

// exchange sends queries to some of the other processes; each reply arrives now, late or never.
func (s *simulation) exchange(t *rapid.T, p *process) {
	reach := rapid.SliceOfN(rapid.IntRange(0, 3), len(s.processes), len(s.processes)).Draw(t, "reach")
	for i, peer := range s.processes {
		if reach[i] == 0 || peer == p {
			continue
		}
		s.merge(peer, p.view)
		r := reply{to: p, from: peer.host, sent: s.clock(p), view: peer.view.clone()}
		if reach[i] == 1 {
			s.replies = append(s.replies, r)
		} else {
			s.deliver(r)
		}
	}
	s.confirmByMajority(p)
}
