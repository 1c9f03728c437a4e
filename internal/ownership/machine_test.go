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

// check fails when two processes may perform one duty at once.
func (w *world) check(t *rapid.T) {
	for d := range 4 {
		duty := ownership.Duty{Kind: ownership.PermitHome, Name: fmt.Sprint("service-", d)}
		var holders []string
		for i, p := range w.processes {
			for slot := range w.platform.epochs {
				if p.state.Confirm(duty, 1, slot, w.clock(p)).OK() {
					holders = append(holders, fmt.Sprintf("process %d on %s for %s", i, p.host, slot))
				}
			}
		}
		w.confirmed += len(holders)
		if len(holders) > 1 {
			t.Fatalf("%s is held by %v", duty.Name, holders)
		}
	}
}

// confirmations counts over all runs, so that a machine that never confirms anything is noticed.
var confirmations int

// Guards against two processes that perform one duty at once, under restarts, pauses, partitions,
// outages, clock drift, roster changes and handovers that break.
func TestDutyHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []id.HostID{"a1", "a2", "b1", "b2", "c1"}
		w := &world{platform: knowledge{epochs: map[id.HostID]id.Epoch{}}}
		var first []ownership.Member
		for _, h := range hosts[:rapid.IntRange(3, 5).Draw(t, "roster size")] {
			first = append(first, ownership.Member{Host: h, FailureDomain: id.FailureDomain(h[:1])})
		}
		w.platform.rosters = []ownership.Roster{ownership.NewRoster(1, catalogue.Revision(0), first)}
		rates := rapid.SampledFrom([]int{100, 105})
		for _, h := range hosts {
			w.start(h, 0, rates.Draw(t, "rate")).skips = rapid.Bool().Draw(t, "skips")
		}
		pick := func(t *rapid.T) *process {
			return w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { w.check(t) },
			"advance": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 60).Draw(t, "deciseconds")) * 100 * time.Millisecond
			},
			"advance by most of a term": func(*rapid.T) { w.now += ownership.ConfirmationTerm - 200*time.Millisecond },
			"exchange with all":         func(t *rapid.T) { w.exchange(t, pick(t)) },
			"deliver late": func(t *rapid.T) {
				if n := len(w.replies); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "reply")
					w.deliver(w.replies[i])
					w.replies = slices.Delete(w.replies, i, i+1)
				}
			},
			"read platform": func(t *rapid.T) {
				p := pick(t)
				if !w.down {
					w.learn(p, w.platform)
					p.state.Fresh(w.clock(p))
				}
			},
			"toggle platform": func(*rapid.T) { w.down = !w.down },
			"pause noticed":   func(t *rapid.T) { pick(t).state.Paused() },
			"restart": func(t *rapid.T) {
				if !w.down && len(w.processes) < 12 {
					h := rapid.SampledFrom(hosts).Draw(t, "host")
					w.start(h, time.Duration(rapid.IntRange(0, 50).Draw(t, "offset"))*time.Second, rates.Draw(t, "rate"))
				}
			},
			"change roster": func(t *rapid.T) {
				if !w.down && len(w.platform.rosters) < 4 {
					w.changeRoster(hosts, rapid.SliceOfNDistinct(rapid.SampledFrom(hosts), 1, 4, rapid.ID[id.HostID]).Draw(t, "host")...)
				}
			},
			"release": func(t *rapid.T) {
				p := pick(t)
				slot := rapid.SampledFrom(hosts).Draw(t, "slot")
				if standing, ok := p.state.Release(slot, w.clock(p)); ok {
					w.given = append(w.given, struct {
						standing ownership.Standing
						to       *process
					}{standing, pick(t)})
				}
			},
			"receive": func(t *rapid.T) {
				if n := len(w.given); n > 0 {
					g := w.given[n-1]
					w.given = w.given[:n-1]
					if g.to.host == g.standing.Slot {
						g.to.state.DelegateReturned(g.standing, w.clock(g.to))
					} else {
						g.to.state.DelegateAccepted(g.standing)
					}
				}
			},
		})
		confirmations += w.confirmed
	})
	if confirmations == 0 {
		t.Fatal("no duty was ever confirmed")
	}
}

// exchange asks every host's newest process; answers arrive now, late or never.
func (w *world) exchange(t *rapid.T, p *process) {
	reach := rapid.SliceOfN(rapid.IntRange(0, 3), len(w.processes), len(w.processes)).Draw(t, "reach")
	for i, peer := range w.processes {
		if reach[i] == 0 || peer == p {
			continue
		}
		w.learn(peer, p.known)
		r := reply{to: p, from: peer.host, sent: w.clock(p), know: peer.known.clone()}
		if reach[i] == 1 {
			w.replies = append(w.replies, r)
		} else {
			w.deliver(r)
		}
	}
	w.majority(p)
}
