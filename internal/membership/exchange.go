package membership

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// NewRequest returns the request that starts an exchange with a peer. keyed adds
// the hashes of the host names, for a peer that did not recognise the dictionary. The host is empty
// when only an address is known.
func (t *Table) NewRequest(host id.HostID, keyed bool, now clock.Time) Request {
	p := t.peers[host]
	if p != nil {
		p.contactedAt = now
	}
	// The digest is taken before the summaries, so that the riders are at least as new as the ages.
	digest := t.digest(now, keyed)
	return Request{Sender: t.sender(p, now), Digest: digest, Riders: t.summaries()}
}

// HandleRequest merges what a peer's request carries and returns the response.
func (t *Table) HandleRequest(req Request, now clock.Time) Response {
	t.storePeerClock(req.Sender, now)
	hosts, known := t.hostsOf(req.Digest)
	if !known || len(req.Digest.Tags) != len(hosts) || len(req.Digest.Sequences) != len(hosts) {
		return Response{Sender: t.sender(t.peers[req.Sender.Host], now), UnknownDictionary: true}
	}
	covered := t.coversAll(req.Riders)
	if base, ok := t.earliestSendTime(req.Sender, now); ok {
		t.recordSender(req.Sender, base)
		t.mergeAges(hosts, req.Digest, base, covered)
		if covered {
			t.mergePlatformRead(req.Sender.PlatformReadAge, base)
		}
	}
	keyed := len(req.Digest.Keys) > 0
	res := Response{
		Sender:     t.sender(t.peers[req.Sender.Host], now),
		Digest:     t.ageDigest(now, keyed),
		WantRiders: !covered,
	}
	res.Records, res.Wanted = t.compare(req.Sender, hosts, req.Digest, now)
	res.Riders = t.deltas(req.Riders)
	return res
}

// HandleResponse merges the response to a request that was sent at startedAt. It returns a push for
// the peer if the peer lacks something, and reports whether the request must be sent again with keys.
func (t *Table) HandleResponse(res Response, startedAt, now clock.Time) (push *Push, retryKeyed bool) {
	if res.UnknownDictionary {
		t.storePeerClock(res.Sender, now)
		return nil, true
	}
	t.mergeUpdates(res.Records, now)
	t.storePeerClock(res.Sender, now)
	t.recordSender(res.Sender, startedAt)
	t.mergeCovered(res.Sender, res.Digest, res.Riders, startedAt)
	if len(res.Wanted) == 0 && !res.WantRiders {
		return nil, false
	}
	digest := Digest{}
	var riders []RiderState
	if res.WantRiders {
		digest = t.ageDigest(now, len(res.Digest.Keys) > 0)
		riders = t.deltas(res.Riders)
	}
	return &Push{
		Sender:  t.sender(t.peers[res.Sender.Host], now),
		Records: t.recordsFor(res.Wanted),
		Digest:  digest,
		Riders:  riders,
	}, false
}

// HandlePush merges a push. It returns the sender part of the reply, which carries the clock reading.
func (t *Table) HandlePush(push Push, now clock.Time) Sender {
	t.mergeUpdates(push.Records, now)
	t.storePeerClock(push.Sender, now)
	if base, ok := t.earliestSendTime(push.Sender, now); ok {
		t.recordSender(push.Sender, base)
	}
	if len(push.Digest.Ages) > 0 {
		if base, ok := t.earliestSendTime(push.Sender, now); ok {
			t.mergeCovered(push.Sender, push.Digest, push.Riders, base)
		} else {
			t.mergeRiders(push.Riders)
		}
	}
	return t.sender(t.peers[push.Sender.Host], now)
}

// NewPush returns a push of the local host's record to a peer.
func (t *Table) NewPush(host id.HostID, now clock.Time) Push {
	return t.NewRelay(host, []*Record{t.self}, now)
}

// NewRelay returns a push of records of any hosts to a peer.
func (t *Table) NewRelay(host id.HostID, records []*Record, now clock.Time) Push {
	push := Push{Sender: t.sender(t.peers[host], now)}
	for _, r := range records {
		push.Records = append(push.Records, Update{Record: r})
	}
	return push
}

// TakeUrgent returns and clears the records with new evidence about crashing requests or new
// suspicions. A request that crashes targets is sent again within milliseconds, so these records are
// relayed without waiting for the next exchange.
func (t *Table) TakeUrgent() []*Record {
	urgent := t.urgent
	t.urgent = nil
	return urgent
}

// HandlePushReply stores the clock reading that the reply to a push carries.
func (t *Table) HandlePushReply(s Sender, now clock.Time) {
	t.storePeerClock(s, now)
}

// mergeCovered merges riders together with heartbeats. If a rider cannot be merged, the heartbeats
// count as alive only.
func (t *Table) mergeCovered(s Sender, d Digest, riders []RiderState, base clock.Time) {
	covered := t.mergeRiders(riders)
	if hosts, known := t.hostsOf(d); known {
		t.mergeAges(hosts, d, base, covered)
	}
	if covered {
		t.mergePlatformRead(s.PlatformReadAge, base)
	}
}
