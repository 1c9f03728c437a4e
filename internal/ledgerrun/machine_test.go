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

// TestMain raises the default number of rapid's runs and of the steps in each; flags override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "2000", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// checkRecovery ends all faults and checks that every response that a holder recorded is replayed as
// long as a process holds the ticket's ledger.
func (c *cluster) checkRecovery(t *rapid.T) {
	c.net.t = nil
	for _, p := range c.processes {
		p.paused = false
	}
	for range 10 {
		c.runWork()
		for _, f := range c.net.delayed {
			f()
		}
		c.net.delayed = nil
	}
	c.gossip()
	for _, k := range c.tickets {
		if c.now-k.issued >= ledger.DefaultWindow {
			continue
		}
		for _, h := range hosts {
			p := c.current[h]
			if p == nil {
				continue
			}
			kind := c.send(t, p, k)
			if _, lives := c.directory[k.at]; lives && k.answered && kind != ledger.Replay {
				t.Fatalf("ticket %v was answered and its resend at %s gets %s", k.at, h, kind)
			}
		}
	}
}

// runWork runs the background tasks of the processes that are neither paused nor killed.
func (c *cluster) runWork() {
	work := c.work
	c.work = nil
	for _, task := range work {
		switch {
		case task.p.killed:
		case task.p.paused:
			c.work = append(c.work, task)
		default:
			task.f()
		}
	}
}

// decisions counts the decisions of all runs, so that the test can fail when a kind never occurs.
var decisions = map[ledger.Kind]int{}

// Guards against a second run of a ticket's request, wrong responses and duties performed by two
// processes, under kills, pauses, replaced processes, lost, repeated and delayed messages, outdated
// directories and interrupted handovers.
func TestTicketRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		pickRunning := func(t *rapid.T) *process {
			if len(c.processes) == 0 {
				return nil
			}
			p := rapid.SampledFrom(c.processes).Draw(t, "process")
			if p.paused {
				return nil
			}
			return p
		}
		// withFaults returns an action that runs f on a process that is not paused, with network faults.
		withFaults := func(f func(*rapid.T, *process)) func(*rapid.T) {
			return func(t *rapid.T) {
				if p := pickRunning(t); p != nil {
					c.net.t = t
					f(t, p)
					c.net.t = nil
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": c.checkDuties,
			"issue": withFaults(func(_ *rapid.T, p *process) {
				if texts, err := p.runner.Issue(customer, 1); err == nil {
					at := ledger.Location{Host: p.host, Epoch: p.epoch}
					c.tickets = append(c.tickets, &ticket{text: texts[0], at: at, issued: c.now})
				}
			}),
			"send": withFaults(func(t *rapid.T, p *process) {
				if len(c.tickets) > 0 {
					decisions[c.send(t, p, rapid.SampledFrom(c.tickets).Draw(t, "ticket"))]++
				}
			}),
			"end": func(t *rapid.T) {
				if n := len(c.active); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "active")
					if a := c.active[i]; !a.p.paused {
						c.active = slices.Delete(c.active, i, i+1)
						c.end(a, rapid.IntRange(0, 3).Draw(t, "outcome"))
					}
				}
			},
			"background work": func(t *rapid.T) {
				c.net.t = t
				c.runWork()
				c.net.t = nil
			},
			"late call": func(t *rapid.T) {
				if n := len(c.net.delayed); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "call")
					f := c.net.delayed[i]
					c.net.delayed = slices.Delete(c.net.delayed, i, i+1)
					f()
				}
			},
			"gossip":  func(*rapid.T) { c.gossip() },
			"advance": func(t *rapid.T) { c.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "minutes")) * time.Minute) },
			"pause or resume": func(t *rapid.T) {
				if len(c.processes) > 0 {
					p := rapid.SampledFrom(c.processes).Draw(t, "process")
					p.paused = !p.paused
				}
			},
			"kill": func(t *rapid.T) {
				if p := pickRunning(t); p != nil && rapid.IntRange(0, 2).Draw(t, "chance") == 0 {
					c.kill(t, p)
				}
			},
			"start": func(t *rapid.T) {
				h := rapid.SampledFrom(hosts).Draw(t, "host")
				if p := c.current[h]; len(c.processes) < 6 && (p == nil || p.paused) {
					c.start(t, h)
				}
			},
			"leave": withFaults(func(_ *rapid.T, p *process) { c.leave(p) }),
			"reopen": withFaults(func(t *rapid.T, p *process) {
				for _, u := range p.units {
					u.Reopen()
				}
				p.units = nil
			}),
			"return": withFaults(func(t *rapid.T, p *process) {
				at := ledger.Location{Host: p.host, Epoch: p.epoch - 1}
				if holder, ok := c.directory[at]; ok && holder != p.host {
					_, _ = handoverPeer{c.net, holder}.Return(context.Background(), &handoverpb.ReturnRequest{
						Slot: string(p.host), Epoch: uint64(at.Epoch), NextEpoch: uint64(p.epoch),
					})
				}
			}),
		})
		c.checkRecovery(t)
	})
	t.Logf("decisions: %v", decisions)
	for _, kind := range []ledger.Kind{ledger.Run, ledger.Replay, ledger.InProgress, ledger.Unknown, ledger.HandedOver, ledger.IssuerLost, ledger.Expired, ledger.Unreachable} {
		if decisions[kind] == 0 {
			t.Errorf("no send was answered %s", kind)
		}
	}
}
