package ledgerrun_test

import (
	"context"
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/ledger"
	handoverpb "buckthornlatch.example/buckthornlatch/rpc/handover"
)

// TestMain raises the default number and length of the machine's runs; flags override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "2000", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// settle ends all faults and checks that every answer that its holder recorded is still given
// while a holder lives.
func (w *world) settle(t *rapid.T) {
	w.net.t = nil
	for _, p := range w.processes {
		p.paused = false
	}
	for range 10 {
		w.runWork()
		for _, f := range w.net.late {
			f()
		}
		w.net.late = nil
	}
	w.gossip()
	for _, k := range w.tickets {
		if w.now-k.issued >= ledger.DefaultWindow {
			continue
		}
		for _, h := range hosts {
			p := w.current[h]
			if p == nil {
				continue
			}
			kind := w.send(t, p, k)
			if _, lives := w.directory[k.at]; lives && k.answered && kind != ledger.Replay {
				t.Fatalf("ticket %v was answered and its resend at %s gets %s", k.at, h, kind)
			}
		}
	}
}

// runWork runs what waits in the background of processes that run.
func (w *world) runWork() {
	work := w.work
	w.work = nil
	for _, task := range work {
		switch {
		case task.p.killed:
		case task.p.paused:
			w.work = append(w.work, task)
		default:
			task.f()
		}
	}
}

// decisions counts over all runs, so that a machine that never reaches a state is noticed.
var decisions = map[ledger.Kind]int{}

// Guards against a second run of a ticket's request, false answers and duties performed twice,
// under kills, pauses, replaced processes, lost, repeated and late messages, old directories and
// handovers that break.
func TestTicketRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		pick := func(t *rapid.T) *process {
			if len(w.processes) == 0 {
				return nil
			}
			p := rapid.SampledFrom(w.processes).Draw(t, "process")
			if p.paused {
				return nil
			}
			return p
		}
		// with runs an action of a process that is not paused, with faults in its calls.
		with := func(f func(*rapid.T, *process)) func(*rapid.T) {
			return func(t *rapid.T) {
				if p := pick(t); p != nil {
					w.net.t = t
					f(t, p)
					w.net.t = nil
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": w.checkDuties,
			"issue": with(func(_ *rapid.T, p *process) {
				if texts, err := p.runner.Issue(customer, 1); err == nil {
					at := ledger.Location{Host: p.host, Epoch: p.epoch}
					w.tickets = append(w.tickets, &ticket{text: texts[0], at: at, issued: w.now})
				}
			}),
			"send": with(func(t *rapid.T, p *process) {
				if len(w.tickets) > 0 {
					decisions[w.send(t, p, rapid.SampledFrom(w.tickets).Draw(t, "ticket"))]++
				}
			}),
			"end": func(t *rapid.T) {
				if n := len(w.active); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "active")
					if a := w.active[i]; !a.p.paused {
						w.active = slices.Delete(w.active, i, i+1)
						w.end(a, rapid.IntRange(0, 3).Draw(t, "outcome"))
					}
				}
			},
			"background work": func(t *rapid.T) {
				w.net.t = t
				w.runWork()
				w.net.t = nil
			},
			"late call": func(t *rapid.T) {
				if n := len(w.net.late); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "call")
					f := w.net.late[i]
					w.net.late = slices.Delete(w.net.late, i, i+1)
					f()
				}
			},
			"gossip":  func(*rapid.T) { w.gossip() },
			"advance": func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "minutes")) * time.Minute) },
			"pause or resume": func(t *rapid.T) {
				if len(w.processes) > 0 {
					p := rapid.SampledFrom(w.processes).Draw(t, "process")
					p.paused = !p.paused
				}
			},
			"kill": func(t *rapid.T) {
				if p := pick(t); p != nil && rapid.IntRange(0, 2).Draw(t, "chance") == 0 {
					w.kill(t, p)
				}
			},
			"start": func(t *rapid.T) {
				h := rapid.SampledFrom(hosts).Draw(t, "host")
				if p := w.current[h]; len(w.processes) < 6 && (p == nil || p.paused) {
					w.start(t, h)
				}
			},
			"leave": with(func(_ *rapid.T, p *process) { w.leave(p) }),
			"reopen": with(func(t *rapid.T, p *process) {
				for _, u := range p.units {
					u.Reopen()
				}
				p.units = nil
			}),
			"return": with(func(t *rapid.T, p *process) {
				at := ledger.Location{Host: p.host, Epoch: p.epoch - 1}
				if holder, ok := w.directory[at]; ok && holder != p.host {
					_, _ = handoverPeer{w.net, holder}.Return(context.Background(), &handoverpb.ReturnRequest{
						Slot: string(p.host), Epoch: uint64(at.Epoch), NextEpoch: uint64(p.epoch),
					})
				}
			}),
		})
		w.settle(t)
	})
	t.Logf("decisions: %v", decisions)
	for _, kind := range []ledger.Kind{ledger.Run, ledger.Replay, ledger.InProgress, ledger.Unknown, ledger.HandedOver, ledger.IssuerLost, ledger.Expired, ledger.Unreachable} {
		if decisions[kind] == 0 {
			t.Errorf("no send was answered %s", kind)
		}
	}
}
