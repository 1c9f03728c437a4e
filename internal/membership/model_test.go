package membership_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/freshness"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// growingSet is a grow-only set that travels as a rider.
type growingSet struct {
	members []int
	// refuse makes merges fail.
	refuse bool
}

func (s *growingSet) Name() string { return "set" }

func (s *growingSet) Summary() []byte { return s.encode() }

func (s *growingSet) Covers(summary []byte) bool {
	for _, m := range decodeSet(summary) {
		if !slices.Contains(s.members, m) {
			return false
		}
	}
	return true
}

func (s *growingSet) Delta([]byte) ([]byte, error) { return s.encode(), nil }

func (s *growingSet) Merge(delta []byte) error {
	if s.refuse {
		return errors.New("refused")
	}
	for _, m := range decodeSet(delta) {
		s.add(m)
	}
	return nil
}

func (s *growingSet) add(m int) {
	if !slices.Contains(s.members, m) {
		s.members = append(s.members, m)
		slices.Sort(s.members)
	}
}

func (s *growingSet) encode() []byte {
	b, _ := json.Marshal(s.members)
	return b
}

func decodeSet(b []byte) (members []int) {
	_ = json.Unmarshal(b, &members)
	return members
}

// holding says that a process held a member of the set from one real time to another.
type holding struct {
	member   int
	from, to time.Duration
}

// node is one host with its present process.
type node struct {
	host     id.HostID
	table    *membership.Table
	set      *growingSet
	process  int
	offset   time.Duration
	lastSent time.Duration
	// confirmed says that the process caught up with a majority of the others.
	confirmed bool
	// seen are the newest versions that the process knew of the others.
	seen map[id.HostID]membership.Version
	// held is what the processes of the host held, and when.
	held    []holding
	highest id.Incarnation
}

// packet is a message under way.
type packet struct {
	from, to, process int
	startedAt         clock.Time
	request           *membership.Request
	response          *membership.Response
	push              *membership.Push
}

// fleet is the system under test with its network.
type fleet struct {
	now     time.Duration
	nodes   []*node
	packets []packet
	cut     map[[2]int]bool
	nextSet int
	// acknowledged is the time from which a majority of confirmed processes held a member.
	acknowledged map[int]time.Duration
}

// roster is the fleet's roster.
var roster = []id.HostID{"h0", "h1", "h2", "h3"}

func (f *fleet) local(n *node) clock.Time { return clock.Time(f.now + n.offset) }

func (f *fleet) start(i int, incarnation id.Incarnation, offset time.Duration) {
	n := f.nodes[i]
	for h := range n.held {
		n.held[h].to = min(n.held[h].to, f.now)
	}
	n.set = &growingSet{}
	n.process++
	n.confirmed = false
	n.seen = map[id.HostID]membership.Version{}
	n.offset = offset
	n.highest = max(n.highest, incarnation)
	n.table = membership.NewTable(membership.Config{
		Self: n.host, Incarnation: incarnation, Seed: uint64(i), Riders: []membership.Rider{n.set},
	}, f.local(n))
}

// sent notes that a node emitted a message now.
func (f *fleet) sent(n *node) { n.lastSent = f.now }

// note records what a node holds now.
func (f *fleet) note(n *node) {
	n.highest = max(n.highest, n.table.Self().Incarnation)
	for _, m := range n.set.members {
		known := slices.ContainsFunc(n.held, func(h holding) bool { return h.member == m && h.to > f.now })
		if !known {
			n.held = append(n.held, holding{m, f.now, 1 << 62})
		}
	}
}

func (f *fleet) request(from, to int, keyed bool) {
	n := f.nodes[from]
	f.sent(n)
	now := f.local(n)
	req := n.table.NewRequest(f.nodes[to].host, keyed, now)
	f.packets = append(f.packets, packet{from: from, to: to, process: n.process, startedAt: now, request: &req})
}

// deliver hands one packet to its receiver; responses of a former process's calls are lost.
func (f *fleet) deliver(p packet) {
	n := f.nodes[p.to]
	now := f.local(n)
	switch {
	case f.cut[[2]int{p.from, p.to}]:
	case p.request != nil:
		res := n.table.HandleRequest(*p.request, now)
		f.sent(n)
		f.packets = append(f.packets, packet{
			from: p.to, to: p.from, process: p.process, startedAt: p.startedAt, response: &res,
		})
	case p.response != nil && p.process == n.process:
		push, repeat := n.table.HandleResponse(*p.response, p.startedAt, now)
		if repeat {
			f.request(p.to, p.from, true)
		}
		if push != nil {
			f.sent(n)
			f.packets = append(f.packets, packet{from: p.to, to: p.from, push: push})
		}
	case p.push != nil:
		n.table.HandlePush(*p.push, now)
	}
}

// check asserts that no table believes more than what is true.
func (f *fleet) check(t *rapid.T) {
	for _, n := range f.nodes {
		f.note(n)
		f.confirm(t, n)
	}
	f.acknowledge()
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			if a != b {
				f.checkPair(t, a, b)
			}
		}
	}
}

// confirm lets a process count once it heard a majority without itself, and asserts that
// whoever heard a majority after an acknowledgement knows the member.
func (f *fleet) confirm(t *rapid.T, n *node) {
	verdict := freshness.Evaluate(roster, n.table, f.local(n))
	if verdict.Basis == freshness.None {
		return
	}
	n.confirmed = true
	n.table.Confirm()
	heard := time.Duration(verdict.Until.Add(-freshness.Window)) - n.offset
	for member, at := range f.acknowledged {
		if heard > at && !slices.Contains(n.set.members, member) {
			t.Fatalf("%s heard a majority at %v but lacks member %d, acknowledged at %v", n.host, heard, member, at)
		}
	}
}

// acknowledge notes the members that a majority of the roster holds.
func (f *fleet) acknowledge() {
	for member := 1; member <= f.nextSet; member++ {
		holders := 0
		for _, n := range f.nodes {
			if n.confirmed && slices.Contains(n.set.members, member) {
				holders++
			}
		}
		if _, known := f.acknowledged[member]; !known && holders > len(roster)/2 {
			f.acknowledged[member] = f.now
		}
	}
}

func (f *fleet) checkPair(t *rapid.T, a, b *node) {
	if r := a.table.Record(b.host); r != nil {
		if r.Incarnation > b.highest {
			t.Fatalf("%s has a record of %s that was never published", a.host, b.host)
		}
		if a.seen[b.host].Newer(r.Version()) {
			t.Fatalf("%s replaced the record of %s by an older one", a.host, b.host)
		}
		a.seen[b.host] = r.Version()
	}
	local, ok := a.table.CoveredAt(b.host, f.local(a))
	if !ok {
		return
	}
	at := time.Duration(local) - a.offset
	if at > b.lastSent {
		t.Fatalf("%s believes that %s was alive at %v; its last message left at %v", a.host, b.host, at, b.lastSent)
	}
	for _, h := range b.held {
		if h.from < at && h.to > f.now && !slices.Contains(a.set.members, h.member) {
			t.Fatalf("%s covers %s at %v but lacks member %d held from %v", a.host, b.host, at, h.member, h.from)
		}
	}
}

// settle heals the network and exchanges until knowledge must have spread.
func (f *fleet) settle() {
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

// TestTables guards against tables that believe a dead or paused host alive, that count a heartbeat
// without what its sender knew, or that keep an old incarnation, under lost, repeated, late and
// reordered messages, one-way cuts and restarts.
func TestTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{cut: map[[2]int]bool{}, acknowledged: map[int]time.Duration{}}
		for i := range 4 {
			f.nodes = append(f.nodes, &node{host: id.HostID(fmt.Sprintf("h%d", i))})
			f.start(i, id.Incarnation(10_000+i), time.Duration(i)*time.Hour)
			f.nodes[i].confirmed = true
			f.nodes[i].table.Confirm()
		}
		any := rapid.IntRange(0, len(f.nodes)-1)
		exchange := func(t *rapid.T) {
			from, to := any.Draw(t, "from"), any.Draw(t, "to")
			if from != to {
				f.request(from, to, rapid.Bool().Draw(t, "keyed"))
			}
		}
		deliver := func(t *rapid.T) {
			if len(f.packets) == 0 {
				t.Skip("nothing under way")
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
				f.nextSet++
				n := f.nodes[any.Draw(t, "host")]
				n.set.add(f.nextSet)
			},
			"refuse": func(t *rapid.T) {
				f.nodes[any.Draw(t, "host")].set.refuse = rapid.Bool().Draw(t, "refuse")
			},
			"change": func(t *rapid.T) {
				slots := rapid.IntRange(1, 3).Draw(t, "slots")
				summary := membership.TargetSummary{Latency: membership.CoarseLatency(rapid.IntRange(1, 3).Draw(t, "latency"))}
				n := f.nodes[any.Draw(t, "host")]
				n.table.SetTargets([]membership.Target{{Name: "t", Service: "s", Slots: slots, TargetSummary: summary}})
			},
			"status": func(t *rapid.T) {
				n := f.nodes[any.Draw(t, "host")]
				n.table.SetStatus(membership.Status{Epoch: id.Epoch(rapid.IntRange(1, 9).Draw(t, "epoch"))})
			},
			"cut": func(t *rapid.T) {
				f.cut[[2]int{any.Draw(t, "from"), any.Draw(t, "to")}] = rapid.Bool().Draw(t, "cut")
			},
			"restart": func(t *rapid.T) {
				i := any.Draw(t, "host")
				// A wall clock that went backwards gives a lower incarnation.
				// The last digits differ between processes, as the random bits of NewIncarnation do.
				second := max(1, int(f.nodes[i].highest)/1000+rapid.IntRange(-3, 5).Draw(t, "step"))
				f.start(i, id.Incarnation(second*1000+10*f.nodes[i].process), time.Duration(rapid.IntRange(0, 100).Draw(t, "offset"))*time.Minute)
			},
			"": f.check,
		})
		f.settle()
		f.check(t)
		for _, a := range f.nodes {
			for _, b := range f.nodes {
				got, want := a.table.Record(b.host), b.table.Self()
				if got == nil || got.Version() != want.Version() || !slices.Equal(got.Targets, want.Targets) {
					t.Fatalf("after healing %s knows %+v of %s instead of %+v", a.host, got, b.host, want)
				}
				if a.table.Suspected(b.host, f.local(a)) {
					t.Fatalf("after healing %s suspects %s", a.host, b.host)
				}
			}
		}
	})
}
