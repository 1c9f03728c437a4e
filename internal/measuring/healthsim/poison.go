package healthsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/gossip"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
)

const (
	poisonPrint    = "poison"
	innocentPrints = 20
	// poisonStart is the time before the poison; all hosts have heard each other by then.
	poisonStart = 10 * time.Second
	// poisonTime is the length of a run.
	poisonTime = 22 * time.Second
	// poisonDelay is the time from dispatch to the crash, and innocentTime that of innocent work.
	poisonDelay  = 5 * time.Millisecond
	innocentTime = 20 * time.Millisecond
	// innocentEvery is the mean time between two innocent requests of the whole service.
	innocentEvery = 2 * time.Millisecond
	// hop is the latency between two hosts.
	hop = time.Millisecond
)

// poisonHost is one daemon with one target of the service.
type poisonHost struct {
	name       id.HostID
	target     id.TargetID
	table      *membership.Table
	quarantine *quarantine.Quarantine
	// crashes counts the target's crashes; an attempt that began before the latest is lost.
	crashes int
}

// poisonWorld is one run.
type poisonWorld struct {
	timeline
	setup   PoisonSetup
	random  *rand.Rand
	hosts   []*poisonHost
	byName  map[id.HostID]*poisonHost
	targets []id.TargetID
	result  PoisonResult
}

// RunPoison simulates one run.
func RunPoison(setup PoisonSetup, seed uint64) PoisonResult {
	w := &poisonWorld{
		setup:  setup,
		random: rand.New(rand.NewPCG(seed, 9)),
		byName: make(map[id.HostID]*poisonHost),
	}
	w.build(seed)
	for _, h := range w.hosts {
		w.after(time.Duration(w.random.Int64N(int64(time.Second))), func() { w.gossip(h) })
	}
	w.innocent()
	for range setup.Copies {
		w.after(poisonStart, w.poison)
	}
	w.run(poisonTime)
	w.finish()
	return w.result
}

// build makes a fleet whose hosts know each other.
func (w *poisonWorld) build(seed uint64) {
	all := membership.Push{}
	for i := range w.setup.Hosts {
		name := id.HostID(fmt.Sprintf("host-%03d", i))
		h := &poisonHost{
			name:       name,
			target:     id.TargetID{Host: name, Name: "t"},
			table:      membership.NewTable(membership.Config{Self: name, Incarnation: 1, Seed: seed + uint64(i)}, 0),
			quarantine: quarantine.New(quarantine.Config{Host: name, Incarnation: id.Incarnation(1_000_000 * (i + 1))}),
		}
		h.table.Confirm()
		w.hosts = append(w.hosts, h)
		w.byName[name] = h
		w.targets = append(w.targets, h.target)
		all.Records = append(all.Records, membership.Update{Record: h.table.Self()})
	}
	for _, h := range w.hosts {
		h.table.HandlePush(all, 0)
	}
}

// clock is the time as all hosts read it.
func (w *poisonWorld) clock() clock.Time { return clock.Time(w.now) }

// gossip runs one exchange and schedules the next.
func (w *poisonWorld) gossip(h *poisonHost) {
	w.after(membership.DefaultPeriod, func() { w.gossip(h) })
	peer := h.table.ChoosePeer(w.clock())
	if peer == nil {
		return
	}
	other := w.byName[peer.Host]
	began := w.clock()
	request := h.table.NewRequest(other.name, false, began)
	w.after(hop, func() {
		response := other.table.HandleRequest(request, w.clock())
		w.sync(other)
		w.after(hop, func() {
			push, _ := h.table.HandleResponse(response, began, w.clock())
			w.sync(h)
			if push != nil {
				w.after(hop, func() { w.receive(other, *push) })
			}
		})
	})
}

// receive hands a push to a host.
func (w *poisonWorld) receive(h *poisonHost, push membership.Push) {
	h.table.HandlePush(push, w.clock())
	w.sync(h)
}

// sync hands new evidence to the quarantine and passes urgent records on.
func (w *poisonWorld) sync(h *poisonHost) {
	urgent := h.table.TakeUrgent()
	for _, r := range urgent {
		h.quarantine.Merge(r.Suspects, w.clock())
	}
	if len(urgent) > 0 {
		w.publish(h)
		if w.setup.Relay {
			w.push(h, urgent)
		}
	}
}

// publish enters the own evidence in the record and pushes a change at once.
func (w *poisonWorld) publish(h *poisonHost) {
	if h.table.SetSuspects(h.quarantine.Publish(w.clock())) {
		w.push(h, []*membership.Record{h.table.Self()})
	}
}

// push sends records to a few peers.
func (w *poisonWorld) push(h *poisonHost, records []*membership.Record) {
	for _, peer := range h.table.ChoosePushPeers(gossip.DefaultPushPeers, w.clock()) {
		other := w.byName[peer.Host]
		push := h.table.NewRelay(other.name, records, w.clock())
		w.after(hop, func() { w.receive(other, push) })
	}
}

// poison sends the poison request to a random entry until the caller is refused.
func (w *poisonWorld) poison() {
	entry := w.hosts[w.random.IntN(len(w.hosts))]
	if w.send(entry, poisonPrint, poisonDelay) {
		w.after(w.setup.Resend, w.poison)
	}
}

// innocent sends popular innocent requests to random entries.
func (w *poisonWorld) innocent() {
	w.after(time.Duration(w.random.ExpFloat64()*float64(innocentEvery)), w.innocent)
	entry := w.hosts[w.random.IntN(len(w.hosts))]
	w.result.InnocentsSent++
	print := fmt.Sprintf("innocent-%02d", w.random.IntN(innocentPrints))
	if !w.send(entry, print, innocentTime) {
		w.result.InnocentsRefused++
	}
}

// send lets an entry choose a target for a request; it returns false when the entry refuses it.
func (w *poisonWorld) send(entry *poisonHost, print string, taken time.Duration) bool {
	verdict := entry.quarantine.Check(print, w.clock())
	if verdict == quarantine.Quarantined {
		return false
	}
	target := w.targets[w.random.IntN(len(w.targets))]
	if verdict == quarantine.Suspect && w.setup.Isolate {
		target, _ = entry.quarantine.IsolationTarget(print, w.targets, w.clock())
	}
	w.after(hop, func() { w.dispatch(w.byName[target.Host], print, taken) })
	return true
}

// dispatch runs a request at a gate that permits it.
func (w *poisonWorld) dispatch(gate *poisonHost, print string, taken time.Duration) {
	if !gate.quarantine.MayStart(print, w.clock()) {
		return
	}
	gate.quarantine.Started(print, gate.target)
	crashes := gate.crashes
	w.after(taken, func() {
		switch {
		case gate.crashes != crashes:
		case print == poisonPrint:
			gate.crashes++
			gate.quarantine.Crashed(gate.target, w.clock())
			w.publish(gate)
		default:
			gate.quarantine.Ended(print, gate.target, true, w.clock())
			w.publish(gate)
		}
	})
}

// finish counts the crashed targets and the innocents that are still refused.
func (w *poisonWorld) finish() {
	for _, h := range w.hosts {
		if h.crashes > 0 {
			w.result.Crashed++
		}
	}
	for i := range innocentPrints {
		print := fmt.Sprintf("innocent-%02d", i)
		if slices.ContainsFunc(w.hosts, func(h *poisonHost) bool {
			return h.quarantine.Check(print, w.clock()) == quarantine.Quarantined
		}) {
			w.result.InnocentsHeld++
		}
	}
}
