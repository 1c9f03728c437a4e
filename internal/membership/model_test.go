package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// node is one host with its current process.
type node struct {
	host     id.HostID
	table    *membership.Table
	set      *growOnlySet
	process  int
	offset   time.Duration
	lastSent time.Duration
	// confirmed is set once the process has heartbeats from a majority without itself.
	confirmed bool
	// seen holds the newest versions of the other hosts' records that the process had.
	seen map[id.HostID]membership.Version
	// held lists what the processes of the host held, and when.
	held    []heldInterval
	highest id.Incarnation
}

// packet is a message in flight.
type packet struct {
	from, to, process int
	startedAt         clock.Time
	request           *membership.Request
	response          *membership.Response
	push              *membership.Push
}

// fleet is the system under test with a simulated network.
type fleet struct {
	now        time.Duration
	nodes      []*node
	packets    []packet
	cut        map[[2]int]bool
	lastMember int
	// acknowledged holds, for each member, the time at which confirmed processes on a majority of
	// the roster first held it.
	acknowledged map[int]time.Duration
}

// roster lists the hosts that count towards a majority.
var roster = []id.HostID{"h0", "h1", "h2", "h3"}

func (f *fleet) localTime(n *node) clock.Time { return clock.Time(f.now + n.offset) }

func (f *fleet) start(i int, incarnation id.Incarnation, offset time.Duration) {
	n := f.nodes[i]
	for h := range n.held {
		n.held[h].to = min(n.held[h].to, f.now)
	}
	n.set = &growOnlySet{}
	n.process++
	n.confirmed = false
	n.seen = map[id.HostID]membership.Version{}
	n.offset = offset
	n.highest = max(n.highest, incarnation)
	n.table = membership.NewTable(membership.Config{
		Self: n.host, Incarnation: incarnation, Seed: uint64(i), Riders: []membership.Rider{n.set},
	}, f.localTime(n))
}

// recordSend records that a node sent a message now.
func (f *fleet) recordSend(n *node) { n.lastSent = f.now }

// recordState records the highest incarnation and the members that a node holds now.
func (f *fleet) recordState(n *node) {
	n.highest = max(n.highest, n.table.Self().Incarnation)
	for _, m := range n.set.members {
		known := slices.ContainsFunc(n.held, func(h heldInterval) bool { return h.member == m && h.to > f.now })
		if !known {
			n.held = append(n.held, heldInterval{m, f.now, 1 << 62})
		}
	}
}

func (f *fleet) request(from, to int, keyed bool) {
	n := f.nodes[from]
	f.recordSend(n)
	now := f.localTime(n)
	req := n.table.NewRequest(f.nodes[to].host, keyed, now)
	f.packets = append(f.packets, packet{from: from, to: to, process: n.process, startedAt: now, request: &req})
}

// deliver delivers one packet; responses to calls of an earlier process are dropped.
func (f *fleet) deliver(p packet) {
	n := f.nodes[p.to]
	now := f.localTime(n)
	switch {
	case f.cut[[2]int{p.from, p.to}]:
	case p.request != nil:
		res := n.table.HandleRequest(*p.request, now)
		f.recordSend(n)
		f.packets = append(f.packets, packet{
			from: p.to, to: p.from, process: p.process, startedAt: p.startedAt, response: &res,
		})
	case p.response != nil && p.process == n.process:
		push, retry := n.table.HandleResponse(*p.response, p.startedAt, now)
		if retry {
			f.request(p.to, p.from, true)
		}
		if push != nil {
			f.recordSend(n)
			f.packets = append(f.packets, packet{from: p.to, to: p.from, push: push})
		}
	case p.push != nil:
		n.table.HandlePush(*p.push, now)
	}
}

// converge heals the network and runs exchanges until every change must have spread.
func (f *fleet) converge() {
	f.cut = map[[2]int]bool{}
	f.packets = nil
	for _, n := range f.nodes {
		n.set.refuse = false
	}
	for round := range 12 {
		for i := range f.nodes {
			f.now += 50 * time.Millisecond
			f.restartSuperseded(i)
			f.request(i, (i+1+round%(len(f.nodes)-1))%len(f.nodes), round%3 == 0)
			for len(f.packets) > 0 {
				p := f.packets[0]
				f.packets = f.packets[1:]
				f.deliver(p)
			}
		}
	}
}

func (f *fleet) restartSuperseded(i int) {
	if n := f.nodes[i]; n.table.Superseded() {
		f.start(i, n.highest+3001, n.offset)
	}
}

// TestTables guards against tables that take a dead or paused host for alive, that count a heartbeat
// as covered without the state that its sender had, or that keep an old incarnation, under lost,
// duplicated, delayed and reordered messages, one-way partitions and restarts.
func TestTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{cut: map[[2]int]bool{}, acknowledged: map[int]time.Duration{}}
		for i := range 4 {
			f.nodes = append(f.nodes, &node{host: id.HostID(fmt.Sprintf("h%d", i))})
			f.start(i, id.Incarnation(10_000+i), time.Duration(i)*time.Hour)
			f.nodes[i].confirmed = true
			f.nodes[i].table.Confirm()
		}
		anyHost := rapid.IntRange(0, len(f.nodes)-1)
		exchange := func(t *rapid.T) {
			from, to := anyHost.Draw(t, "from"), anyHost.Draw(t, "to")
			if from != to {
				f.request(from, to, rapid.Bool().Draw(t, "keyed"))
			}
		}
		deliver := func(t *rapid.T) {
			if len(f.packets) == 0 {
				t.Skip("no packet in flight")
			}
			at := rapid.IntRange(0, len(f.packets)-1).Draw(t, "packet")
			p := f.packets[at]
			if rapid.IntRange(0, 9).Draw(t, "fate") > 0 {
				f.packets = slices.Delete(f.packets, at, at+1)
			}
			f.deliver(p)
		}
		t.Repeat(map[string]func(*rapid.T){
			"exchange":  exchange,
			"exchange2": exchange,
			"deliver":   deliver,
			"deliver2":  deliver,
			"deliver3":  deliver,
			"drop": func(t *rapid.T) {
				if len(f.packets) > 0 {
					at := rapid.IntRange(0, len(f.packets)-1).Draw(t, "packet")
					f.packets = slices.Delete(f.packets, at, at+1)
				}
			},
			"wait": func(t *rapid.T) {
				f.now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
			},
			"add": func(t *rapid.T) {
				f.lastMember++
				n := f.nodes[anyHost.Draw(t, "host")]
				n.set.add(f.lastMember)
			},
			"refuse": func(t *rapid.T) {
				f.nodes[anyHost.Draw(t, "host")].set.refuse = rapid.Bool().Draw(t, "refuse")
			},
			"change": func(t *rapid.T) {
				slots := rapid.IntRange(1, 3).Draw(t, "slots")
				summary := membership.TargetSummary{Latency: membership.CoarseLatency(rapid.IntRange(1, 3).Draw(t, "latency"))}
				n := f.nodes[anyHost.Draw(t, "host")]
				n.table.SetTargets([]membership.Target{{Name: "t", Service: "s", Slots: slots, TargetSummary: summary}})
			},
			"status": func(t *rapid.T) {
				n := f.nodes[anyHost.Draw(t, "host")]
				n.table.SetStatus(membership.Status{Epoch: id.Epoch(rapid.IntRange(1, 9).Draw(t, "epoch"))})
			},
			"cut": func(t *rapid.T) {
				f.cut[[2]int{anyHost.Draw(t, "from"), anyHost.Draw(t, "to")}] = rapid.Bool().Draw(t, "cut")
			},
			"restart": func(t *rapid.T) {
				i := anyHost.Draw(t, "host")
				// A wall clock that was set back gives a lower incarnation.
				// The last digits differ between processes, as the random bits of NewIncarnation do.
				second := max(1, int(f.nodes[i].highest)/1000+rapid.IntRange(-3, 5).Draw(t, "step"))
				f.start(i, id.Incarnation(second*1000+10*f.nodes[i].process), time.Duration(rapid.IntRange(0, 100).Draw(t, "offset"))*time.Minute)
			},
			"": f.check,
		})
		f.converge()
		f.check(t)
		for _, a := range f.nodes {
			for _, b := range f.nodes {
				got, want := a.table.Record(b.host), b.table.Self()
				if got == nil || got.Version() != want.Version() || !slices.Equal(got.Targets, want.Targets) {
					t.Fatalf("after healing %s has record %+v of %s instead of %+v", a.host, got, b.host, want)
				}
				if a.table.Suspected(b.host, f.localTime(a)) {
					t.Fatalf("after healing %s suspects %s", a.host, b.host)
				}
			}
		}
	})
}
