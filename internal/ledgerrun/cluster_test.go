package ledgerrun_test

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/handover"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/ledgerrun"
	handoverpb "buckthornlatch.example/buckthornlatch/rpc/handover"
	ledgerpb "buckthornlatch.example/buckthornlatch/rpc/ledger"
)

const customer = id.CustomerID("chubut")

// task is a background task of a process.
type task struct {
	p *process
	f func()
}

// cluster simulates daemon processes on several hosts and the faults between them.
type cluster struct {
	now       time.Duration
	random    *rand.Rand
	net       *network
	epochs    map[id.HostID]id.Epoch
	current   map[id.HostID]*process
	processes []*process
	// directory is the state at the last gossip; it may be outdated.
	directory map[ledger.Location]id.HostID
	tickets   []*ticket
	active    []activeSend
	work      []task
}

var hosts = []id.HostID{"a1", "b1", "c1"}

// Holder implements ledgerrun.Directory.
func (c *cluster) Holder(at ledger.Location) (id.HostID, bool) {
	h, ok := c.directory[at]
	return h, ok
}

// newCluster starts a process on every host.
func newCluster(t *rapid.T) *cluster {
	c := &cluster{
		random: rand.New(rand.NewSource(int64(rapid.IntRange(0, 1<<30).Draw(t, "ids")))),
		epochs: map[id.HostID]id.Epoch{}, current: map[id.HostID]*process{},
		directory: map[ledger.Location]id.HostID{},
	}
	c.net = &network{cluster: c}
	for _, h := range hosts {
		c.start(t, h)
	}
	c.gossip()
	return c
}

// start registers a new process on a host.
func (c *cluster) start(t *rapid.T, host id.HostID) {
	c.epochs[host]++
	p := &process{host: host, epoch: c.epochs[host], clock: &clock.Fake{}, rate: rapid.SampledFrom([]int{100, 105}).Draw(t, "rate"), duties: fakeDuties{}}
	p.clock.Advance(time.Duration(rapid.IntRange(0, 3).Draw(t, "uptime")) * 40 * time.Minute)
	later := func(f func()) { c.work = append(c.work, task{p, f}) }
	settings := ledgerrun.DefaultSettings()
	settings.Ledger.MaxRun = 3 * time.Hour
	var err error
	p.runner, err = ledgerrun.New(ledgerrun.Config{
		Self: host, Clock: p.clock, Random: c.random, Directory: c, Settings: settings, Background: later,
		Dial: func(to id.HostID) (ledgerpb.Tickets, error) { return ticketPeer{c.net, to}, nil },
	})
	c.must(err)
	p.tickets = ledgerrun.NewServer(p.runner)
	limits := handover.DefaultSettings()
	limits.ChunkBytes = 200
	p.sender = &handover.Sender{Self: host, Settings: limits, Dial: func(to id.HostID) (handoverpb.Handover, error) {
		return handoverPeer{c.net, to}, nil
	}}
	p.handover, err = handover.NewServer(handover.Config{
		Holder: p.runner, Duties: p.duties, Sender: p.sender, Clock: p.clock, Random: c.random, Background: later,
	})
	c.must(err)
	c.must(p.runner.StartEpoch(p.epoch))
	p.duties[ledger.Location{Host: host, Epoch: p.epoch}] = true
	c.current[host] = p
	c.processes = append(c.processes, p)
}

func (c *cluster) must(err error) {
	if err != nil {
		panic(err)
	}
}

// gossip rebuilds the directory from the processes that can be reached.
func (c *cluster) gossip() {
	c.directory = map[ledger.Location]id.HostID{}
	for _, h := range hosts {
		if p := c.current[h]; p != nil && !p.paused {
			for _, holding := range p.runner.HeldLedgers() {
				if _, known := c.directory[holding.At]; holding.Active || !known {
					c.directory[holding.At] = h
				}
			}
		}
	}
}

// advance advances all clocks, each at its own rate.
func (c *cluster) advance(d time.Duration) {
	c.now += d
	for _, p := range c.processes {
		p.clock.Advance(d * time.Duration(p.rate) / 100)
	}
}

// send sends a ticket's request to a process and checks the decision.
func (c *cluster) send(t *rapid.T, p *process, k *ticket) ledger.Kind {
	d, err := p.runner.Begin(context.Background(), customer, k.text, "f")
	c.must(err)
	switch d.Kind {
	case ledger.Run:
		for _, a := range c.active {
			if a.ticket == k {
				t.Fatalf("ticket %v runs at %s and %s", k.at, a.p.host, p.host)
			}
		}
		if k.runs > 0 {
			t.Fatalf("ticket %v runs again at %s", k.at, p.host)
		}
		c.active = append(c.active, activeSend{p: p, ticket: k, claim: d.Claim})
	case ledger.Replay:
		if k.runs != 1 || string(d.Response.Body) != k.answer {
			t.Fatalf("ticket %v ran %d times and is answered %q", k.at, k.runs, d.Response.Body)
		}
	case ledger.RanNotKept, ledger.KeyReused, ledger.Invalid, ledger.Full:
		t.Fatalf("ticket %v answered %s", k.at, d.Kind)
	}
	return d.Kind
}

// end ends an active send; outcome 0 is a proved not-run, 1 a response, 2 unknown without a run and
// 3 unknown after a run.
func (c *cluster) end(a activeSend, outcome int) {
	switch outcome {
	case 0:
		a.p.runner.Finish(context.Background(), a.claim, ledger.NotRun(ledger.GateVerdict))
	case 1:
		a.ticket.runs++
		a.ticket.answer = fmt.Sprint("answer ", a.claim.Serial, " of ", a.p.host)
		_, here := a.p.runner.Find(a.claim.At)
		a.ticket.answered = here
		a.p.runner.Finish(context.Background(), a.claim, ledger.Ran(ledger.Response{Status: 201, Body: []byte(a.ticket.answer)}))
	default:
		a.ticket.runs += outcome - 2
		a.p.runner.Finish(context.Background(), a.claim, ledger.UnknownOutcome())
	}
}

// kill kills a process; its active sends may have run.
func (c *cluster) kill(t *rapid.T, p *process) {
	p.killed = true
	c.active = slices.DeleteFunc(c.active, func(a activeSend) bool {
		if a.p == p {
			a.ticket.runs += rapid.IntRange(0, 1).Draw(t, "ran before the kill")
		}
		return a.p == p
	})
	c.processes = slices.DeleteFunc(c.processes, func(q *process) bool { return q == p })
	if c.current[p.host] == p {
		delete(c.current, p.host)
	}
}

// leave hands over all ledgers of a process, or resumes the handovers that did not succeed.
func (c *cluster) leave(p *process) {
	if len(p.units) == 0 {
		p.units = p.runner.PrepareHandovers(p.duties)
	}
	var candidates []id.HostID
	for _, h := range hosts {
		if h != p.host {
			candidates = append(candidates, h)
		}
	}
	units := p.units
	p.units = nil
	for _, u := range units {
		if result, _, _ := p.sender.HandOverToFirst(context.Background(), u, candidates); result != handover.HandedOver {
			p.units = append(p.units, u)
		}
	}
}

// interleave runs a random event during a call to a host.
func (c *cluster) interleave(t *rapid.T, to id.HostID) {
	if len(c.processes) == 0 {
		return
	}
	p := rapid.SampledFrom(c.processes).Draw(t, "meanwhile")
	switch rapid.IntRange(0, 4).Draw(t, "event") {
	case 0:
		if !p.paused && len(c.tickets) > 0 {
			c.send(t, p, rapid.SampledFrom(c.tickets).Draw(t, "ticket"))
		}
	case 1:
		c.runWork()
	case 2:
		if !p.paused {
			c.leave(p)
		}
	case 3:
		for _, u := range p.units {
			u.Reopen()
		}
	case 4:
		if old := c.current[to]; old != nil && len(c.processes) < 6 {
			old.paused = true
			c.start(t, to)
		}
	}
}

// checkDuties fails when two processes perform the duties of one epoch.
func (c *cluster) checkDuties(t *rapid.T) {
	holder := map[ledger.Location]*process{}
	for _, p := range c.processes {
		for at := range p.duties {
			if other := holder[at]; other != nil {
				t.Fatalf("duties of %v are performed by processes on %s and %s", at, other.host, p.host)
			}
			holder[at] = p
		}
	}
}
