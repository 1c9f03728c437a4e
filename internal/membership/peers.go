package membership

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// partnerCount is the number of hosts that a daemon starts exchanges with. A fixed set keeps
	// the connections open: a TLS handshake costs more bytes than an exchange at 460 hosts.
	partnerCount = 16
	// partnerExchanges is the number of exchanges after which one partner is replaced at random.
	partnerExchanges = 60
	// suspectPeerChance is one in this many peer choices that includes suspected hosts, so that
	// a healed partition is noticed without a seed.
	suspectPeerChance = 8
)

// ChoosePeer returns a random peer for the next exchange, or nil when no peer is known.
func (t *Table) ChoosePeer(now clock.Time) *Record {
	t.refreshPartners(now)
	if len(t.partners) == 0 || t.random.IntN(suspectPeerChance) == 0 {
		return t.anyPeer()
	}
	host := t.partners[t.random.IntN(len(t.partners))]
	return t.entries[host].record
}

// ChoosePushPeers returns up to n different random peers that are not suspected.
func (t *Table) ChoosePushPeers(n int, now clock.Time) []*Record {
	hosts := t.unsuspected(now)
	t.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	peers := make([]*Record, 0, n)
	for _, host := range hosts[:min(n, len(hosts))] {
		peers = append(peers, t.entries[host].record)
	}
	return peers
}

// anyPeer returns a random host, suspected or not; nil when there is none.
func (t *Table) anyPeer() *Record {
	if len(t.names) < 2 {
		return nil
	}
	for {
		host := t.names[t.random.IntN(len(t.names))]
		if host != t.config.Self {
			return t.entries[host].record
		}
	}
}

// refreshPartners drops suspected partners, replaces one now and then, and fills the set up.
func (t *Table) refreshPartners(now clock.Time) {
	t.partners = slices.DeleteFunc(t.partners, func(host id.HostID) bool {
		return t.entries[host] == nil || t.Suspected(host, now)
	})
	t.exchanges++
	if len(t.partners) == partnerCount && t.exchanges%partnerExchanges == 0 {
		t.partners = slices.Delete(t.partners, 0, 1)
	}
	if len(t.partners) == partnerCount {
		return
	}
	hosts := t.unsuspected(now)
	t.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, host := range hosts {
		if len(t.partners) == partnerCount {
			return
		}
		if !slices.Contains(t.partners, host) {
			t.partners = append(t.partners, host)
		}
	}
}

// unsuspected returns the other hosts that are not suspected.
func (t *Table) unsuspected(now clock.Time) []id.HostID {
	var hosts []id.HostID
	for _, host := range t.names {
		if host != t.config.Self && !t.Suspected(host, now) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// NoteContact records the result of a direct contact from here, by any part.
func (t *Table) NoteContact(host id.HostID, ok bool, now clock.Time) {
	e := t.entries[host]
	if e == nil {
		return
	}
	if ok {
		e.reached = now
		return
	}
	e.failed = now
}

// Reachable reports whether the last direct contact from here succeeded; a host that was never
// contacted counts as reachable. It is independent of heartbeats heard through others.
func (t *Table) Reachable(host id.HostID) bool {
	if host == t.config.Self {
		return true
	}
	e := t.entries[host]
	return e != nil && (e.failed == never || e.reached >= e.failed)
}
