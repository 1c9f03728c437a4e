package healthsim

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/gossip"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// gossip runs one exchange of a host with a peer and schedules the next.
func (w *world) gossip(h *host) {
	w.after(membership.DefaultPeriod, func() { w.gossip(h) })
	// Suspicion changes with time alone, so the balancer is brought up to date once per period.
	h.seen = 0
	w.sync(h)
	peer := h.table.ChoosePeer(w.clock())
	if peer == nil {
		return
	}
	other := w.host(peer.Host)
	began := w.clock()
	request := h.table.NewRequest(other.name, false, began)
	delay := w.oneWay(h, other)
	w.after(delay, func() {
		response := other.table.HandleRequest(request, w.clock())
		w.sync(other)
		w.after(delay, func() {
			push, _ := h.table.HandleResponse(response, began, w.clock())
			w.sync(h)
			if push != nil {
				w.after(delay, func() { w.receive(other, *push) })
			}
		})
	})
}

// receive hands a push to a host.
func (w *world) receive(h *host, push membership.Push) {
	h.table.HandlePush(push, w.clock())
	w.sync(h)
	w.relay(h)
}

// relay passes urgent records on, as the gossip service does.
func (w *world) relay(h *host) {
	urgent := h.table.TakeUrgent()
	if len(urgent) == 0 {
		return
	}
	for _, peer := range h.table.ChoosePushPeers(gossip.DefaultPushPeers, w.clock()) {
		other := w.host(peer.Host)
		push := h.table.NewRelay(other.name, urgent, w.clock())
		w.after(w.oneWay(h, other), func() { w.receive(other, push) })
	}
}

// publish enters the guard's view in the host's record and pushes a change at once.
func (w *world) publish(h *host) {
	state, summary := h.guard.published(w.clock())
	changed := h.table.SetTargets([]membership.Target{{
		Name: h.target.Name, Service: h.service, State: state, Slots: w.deployment.Slots, TargetSummary: summary,
	}})
	if !changed {
		return
	}
	w.sync(h)
	for _, peer := range h.table.ChoosePushPeers(gossip.DefaultPushPeers, w.clock()) {
		other := w.host(peer.Host)
		push := h.table.NewPush(other.name, w.clock())
		w.after(w.oneWay(h, other), func() { w.receive(other, push) })
	}
}

// sync hands the table to the balancer and the judge when it changed.
func (w *world) sync(h *host) {
	if h.table.Changes() == h.seen {
		return
	}
	h.seen = h.table.Changes()
	var peers []ejection.Peer
	for _, r := range h.table.Records() {
		h.balancer.SetHost(r, h.table.Suspected(r.Host, w.clock()), w.clock())
		if r.Host != h.name {
			peers = append(peers, peersOf(r, h.service)...)
		}
	}
	if g, ok := h.guard.(*judged); ok {
		g.judge.SetPeers(h.service, peers)
	}
}

// peersOf returns a record's targets of a service as a judge sees them.
func peersOf(r *membership.Record, service id.ServiceName) (peers []ejection.Peer) {
	for _, t := range r.Targets {
		if t.Service == service {
			peers = append(peers, ejection.Peer{
				Target:    id.TargetID{Host: r.Host, Name: t.Name},
				Latency:   t.Latency.Duration(),
				ErrorRate: float64(t.ErrorPercent) / 100,
				Unhealthy: t.Suspected || t.State != membership.TargetServing,
			})
		}
	}
	return peers
}

// tick lets a host's judge act and follows its guard for the measures.
func (w *world) tick(h *host) {
	w.after(tickEvery, func() { w.tick(h) })
	if g, ok := h.guard.(*judged); ok {
		w.askPermits(h, g.judge)
	}
	w.follow(h, tickEvery)
	w.publish(h)
}

// askPermits sends the judge's requests and releases to the home, which is on the service's second host.
func (w *world) askPermits(h *host, judge *ejection.Detector) {
	judge.Tick(w.clock())
	homeHost := w.hosts[1+w.serviceIndex(h.service)*w.deployment.TargetsPerService]
	delay := w.oneWay(h, homeHost)
	for _, r := range judge.Requests(w.clock()) {
		w.after(delay, func() {
			reply := w.homes[r.Service].Handle(r, w.deployment.TargetsPerService, w.deployment.Floor, w.clock())
			w.after(delay, func() {
				judge.HandleReply(reply, w.clock())
				w.follow(h, 0)
				w.publish(h)
			})
		})
	}
	for _, r := range judge.Releases() {
		w.after(delay, func() { w.homes[r.Service].Release(r) })
	}
}

// serviceIndex returns the position of a service.
func (w *world) serviceIndex(name id.ServiceName) int {
	for i, s := range w.deployment.Services {
		if s == name {
			return i
		}
	}
	return -1
}

// follow notes changes of the guard's decision; elapsed is the time since the last look.
func (w *world) follow(h *host, elapsed time.Duration) {
	out := h.guard.out(w.clock())
	if out {
		h.outTime += elapsed
	}
	if w.now >= warmUp && h.suspectedAt < 0 && h.guard.suspected(w.clock()) {
		h.suspectedAt = w.now
	}
	if out && !h.wasOut {
		h.ejections++
		if h.ejectedAt < 0 && w.now >= warmUp {
			h.ejectedAt = w.now
		}
	}
	h.wasOut = out
}
