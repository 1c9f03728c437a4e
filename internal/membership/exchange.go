package membership

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// NewRequest starts an exchange with a peer; keyed repeats it for a peer that did not know the
// dictionary. The host is empty when only an address is known.
func (t *Table) NewRequest(host id.HostID, keyed bool, now clock.Time) Request {
	e := t.entries[host]
	if e != nil {
		e.contacted = now
	}
	// The digest is taken before the summaries, so that the riders are at least as new as the ages.
	digest := t.digest(now, keyed)
	return Request{Sender: t.sender(e, now), Digest: digest, Riders: t.summaries()}
}

// HandleRequest answers a peer's request.
func (t *Table) HandleRequest(req Request, now clock.Time) Response {
	t.readPeerClock(req.Sender, now)
	hosts, known := t.hostsOf(req.Digest)
	if !known || len(req.Digest.Tags) != len(hosts) || len(req.Digest.Sequences) != len(hosts) {
		return Response{Sender: t.sender(t.entries[req.Sender.Host], now), UnknownDictionary: true}
	}
	covered := t.coversAll(req.Riders)
	if base, ok := t.sentNoEarlierThan(req.Sender, now); ok {
		t.sawSender(req.Sender, base)
		t.mergeAges(hosts, req.Digest, base, covered)
		if covered {
			t.mergePlatformRead(req.Sender.PlatformReadAge, base)
		}
	}
	keyed := len(req.Digest.Keys) > 0
	res := Response{
		Sender:     t.sender(t.entries[req.Sender.Host], now),
		Digest:     t.ages(now, keyed),
		WantRiders: !covered,
	}
	res.Records, res.Wanted = t.compare(req.Sender, hosts, req.Digest, now)
	res.Riders = t.deltas(req.Riders)
	return res
}

// HandleResponse takes over the answer to a request that was sent at startedAt. It returns a
// push for the peer, if the peer lacks something, and whether the request must be repeated with keys.
func (t *Table) HandleResponse(res Response, startedAt, now clock.Time) (push *Push, repeatKeyed bool) {
	if res.UnknownDictionary {
		t.readPeerClock(res.Sender, now)
		return nil, true
	}
	t.mergeUpdates(res.Records, now)
	t.readPeerClock(res.Sender, now)
	t.sawSender(res.Sender, startedAt)
	t.mergeCovered(res.Sender, res.Digest, res.Riders, startedAt)
	if len(res.Wanted) == 0 && !res.WantRiders {
		return nil, false
	}
	digest := Digest{}
	var riders []RiderState
	if res.WantRiders {
		digest = t.ages(now, len(res.Digest.Keys) > 0)
		riders = t.deltas(res.Riders)
	}
	return &Push{
		Sender:  t.sender(t.entries[res.Sender.Host], now),
		Records: t.recordsFor(res.Wanted),
		Digest:  digest,
		Riders:  riders,
	}, false
}

// HandlePush takes over pushed records. It returns the sender part for the reply, which carries the clock.
func (t *Table) HandlePush(push Push, now clock.Time) Sender {
	t.mergeUpdates(push.Records, now)
	t.readPeerClock(push.Sender, now)
	if base, ok := t.sentNoEarlierThan(push.Sender, now); ok {
		t.sawSender(push.Sender, base)
	}
	if len(push.Digest.Ages) > 0 {
		if base, ok := t.sentNoEarlierThan(push.Sender, now); ok {
			t.mergeCovered(push.Sender, push.Digest, push.Riders, base)
		} else {
			t.mergeRiders(push.Riders)
		}
	}
	return t.sender(t.entries[push.Sender.Host], now)
}

// NewPush carries the own record to a peer at once.
func (t *Table) NewPush(host id.HostID, now clock.Time) Push {
	return t.NewRelay(host, []*Record{t.self}, now)
}

// NewRelay carries records to a peer at once.
func (t *Table) NewRelay(host id.HostID, records []*Record, now clock.Time) Push {
	push := Push{Sender: t.sender(t.entries[host], now)}
	for _, r := range records {
		push.Records = append(push.Records, Update{Record: r})
	}
	return push
}

// TakeUrgent returns, once, the records with new evidence about crashing requests or new suspicions.
// A request that crashes targets is sent again within milliseconds, so they are passed on without
// waiting for the next exchange.
func (t *Table) TakeUrgent() []*Record {
	urgent := t.urgent
	t.urgent = nil
	return urgent
}

// HandlePushReply keeps the clock that the reply to a push carries.
func (t *Table) HandlePushReply(s Sender, now clock.Time) {
	t.readPeerClock(s, now)
}

// mergeCovered accepts riders and heartbeats together; heartbeats whose riders fail count as alive only.
func (t *Table) mergeCovered(s Sender, d Digest, riders []RiderState, base clock.Time) {
	covered := t.mergeRiders(riders)
	if hosts, known := t.hostsOf(d); known {
		t.mergeAges(hosts, d, base, covered)
	}
	if covered {
		t.mergePlatformRead(s.PlatformReadAge, base)
	}
}
