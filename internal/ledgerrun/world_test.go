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

// task is work that a process does in the background.
type task struct {
	p *process
	f func()
}

// world is a fleet with its faults.
type world struct {
	now       time.Duration
	random    *rand.Rand
	net       *network
	epochs    map[id.HostID]id.Epoch
	current   map[id.HostID]*process
	processes []*process
	// directory is what gossip last said; it may be old.
	directory map[ledger.Location]id.HostID
	tickets   []*ticket
	active    []active
	work      []task
}

var hosts = []id.HostID{"a1", "b1", "c1"}

// Holder implements ledgerrun.Directory.
func (w *world) Holder(at ledger.Location) (id.HostID, bool) {
	h, ok := w.directory[at]
	return h, ok
}

// newWorld starts a process on every host.
func newWorld(t *rapid.T) *world {
	w := &world{
		random: rand.New(rand.NewSource(int64(rapid.IntRange(0, 1<<30).Draw(t, "ids")))),
		epochs: map[id.HostID]id.Epoch{}, current: map[id.HostID]*process{},
		directory: map[ledger.Location]id.HostID{},
	}
	w.net = &network{w: w}
	for _, h := range hosts {
		w.start(t, h)
	}
	w.gossip()
	return w
}

// start registers a new process on a host.
func (w *world) start(t *rapid.T, host id.HostID) {
	w.epochs[host]++
	p := &process{host: host, epoch: w.epochs[host], clock: &clock.Fake{}, rate: rapid.SampledFrom([]int{100, 105}).Draw(t, "rate"), duties: dutyBook{}}
	p.clock.Advance(time.Duration(rapid.IntRange(0, 3).Draw(t, "uptime")) * 40 * time.Minute)
	later := func(f func()) { w.work = append(w.work, task{p, f}) }
	settings := ledgerrun.DefaultSettings()
	settings.Ledger.MaxRun = 3 * time.Hour
	var err error
	p.runner, err = ledgerrun.New(ledgerrun.Config{
		Self: host, Clock: p.clock, Random: w.random, Directory: w, Settings: settings, Background: later,
		Dial: func(to id.HostID) (ledgerpb.Tickets, error) { return ticketPeer{w.net, to}, nil },
	})
	w.must(err)
	p.tickets = ledgerrun.NewServer(p.runner)
	limits := handover.DefaultSettings()
	limits.ChunkBytes = 200
	p.sender = &handover.Sender{Self: host, Settings: limits, Dial: func(to id.HostID) (handoverpb.Handover, error) {
		return handoverPeer{w.net, to}, nil
	}}
	p.handover, err = handover.NewServer(handover.Config{
		Holder: p.runner, Duties: p.duties, Sender: p.sender, Clock: p.clock, Random: w.random, Background: later,
	})
	w.must(err)
	w.must(p.runner.Registered(p.epoch))
	p.duties[ledger.Location{Host: host, Epoch: p.epoch}] = true
	w.current[host] = p
	w.processes = append(w.processes, p)
}

func (w *world) must(err error) {
	if err != nil {
		panic(err)
	}
}

// gossip renews the directory from the processes that can be reached.
func (w *world) gossip() {
	w.directory = map[ledger.Location]id.HostID{}
	for _, h := range hosts {
		if p := w.current[h]; p != nil && !p.paused {
			for _, holding := range p.runner.Held() {
				if _, known := w.directory[holding.At]; holding.Active || !known {
					w.directory[holding.At] = h
				}
			}
		}
	}
}

// advance moves all clocks, each at its rate.
func (w *world) advance(d time.Duration) {
	w.now += d
	for _, p := range w.processes {
		p.clock.Advance(d * time.Duration(p.rate) / 100)
	}
}

// send resends a ticket's request at a process and checks the decision.
func (w *world) send(t *rapid.T, p *process, k *ticket) ledger.Kind {
	d, err := p.runner.Begin(context.Background(), customer, k.text, "f")
	w.must(err)
	switch d.Kind {
	case ledger.Run:
		for _, a := range w.active {
			if a.ticket == k {
				t.Fatalf("ticket %v runs at %s and %s", k.at, a.p.host, p.host)
			}
		}
		if k.runs > 0 {
			t.Fatalf("ticket %v runs again at %s", k.at, p.host)
		}
		w.active = append(w.active, active{p: p, ticket: k, claim: d.Claim})
	case ledger.Replay:
		if k.runs != 1 || string(d.Response.Body) != k.answer {
			t.Fatalf("ticket %v ran %d times and is answered %q", k.at, k.runs, d.Response.Body)
		}
	case ledger.RanNotKept, ledger.KeyReused, ledger.Invalid, ledger.Full:
		t.Fatalf("ticket %v answered %s", k.at, d.Kind)
	}
	return d.Kind
}

// end finishes an active send; outcome 0 is a proved not-run, 1 an answer, 2 and 3 are unknown.
func (w *world) end(a active, outcome int) {
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

// kill ends a process; its active sends may have run.
func (w *world) kill(t *rapid.T, p *process) {
	p.killed = true
	w.active = slices.DeleteFunc(w.active, func(a active) bool {
		if a.p == p {
			a.ticket.runs += rapid.IntRange(0, 1).Draw(t, "ran before the kill")
		}
		return a.p == p
	})
	w.processes = slices.DeleteFunc(w.processes, func(q *process) bool { return q == p })
	if w.current[p.host] == p {
		delete(w.current, p.host)
	}
}

// leave hands over everything that a process holds, or continues to.
func (w *world) leave(p *process) {
	if len(p.units) == 0 {
		p.units = p.runner.Units(p.duties)
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
		if result, _, _ := p.sender.Leave(context.Background(), u, candidates); result != handover.HandedOver {
			p.units = append(p.units, u)
		}
	}
}

// meanwhile lets something happen during a call to a host.
func (w *world) meanwhile(t *rapid.T, to id.HostID) {
	if len(w.processes) == 0 {
		return
	}
	p := rapid.SampledFrom(w.processes).Draw(t, "meanwhile")
	switch rapid.IntRange(0, 4).Draw(t, "event") {
	case 0:
		if !p.paused && len(w.tickets) > 0 {
			w.send(t, p, rapid.SampledFrom(w.tickets).Draw(t, "ticket"))
		}
	case 1:
		w.runWork()
	case 2:
		if !p.paused {
			w.leave(p)
		}
	case 3:
		for _, u := range p.units {
			u.Reopen()
		}
	case 4:
		if old := w.current[to]; old != nil && len(w.processes) < 6 {
			old.paused = true
			w.start(t, to)
		}
	}
}

// checkDuties fails when two processes perform the duties of one epoch.
func (w *world) checkDuties(t *rapid.T) {
	holder := map[ledger.Location]*process{}
	for _, p := range w.processes {
		for at := range p.duties {
			if other := holder[at]; other != nil {
				t.Fatalf("duties of %v are performed by processes on %s and %s", at, other.host, p.host)
			}
			holder[at] = p
		}
	}
}
