package membership

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// partnerCount is the number of hosts that a daemon regularly exchanges with. A fixed set keeps
	// the connections open: a TLS handshake costs more bytes than an exchange at 460 hosts.
	partnerCount = 16
	// partnerExchanges is the number of exchanges after which the oldest partner is replaced by a
	// random host.
	partnerExchanges = 60
	// suspectPeerChance is the number of choices of a peer of which one on average includes
	// suspected hosts, so that a healed partition is detected without a seed.
	suspectPeerChance = 8
)

// ChoosePeer returns a random peer for the next exchange, or nil when no peer is known.
func (t *Table) ChoosePeer(now clock.Time) *Record {
	t.refreshPartners(now)
	if len(t.partners) == 0 || t.random.IntN(suspectPeerChance) == 0 {
		return t.randomPeer()
	}
	host := t.partners[t.random.IntN(len(t.partners))]
	return t.peers[host].record
}

// ChoosePushPeers returns up to n distinct random peers that are not suspected.
func (t *Table) ChoosePushPeers(n int, now clock.Time) []*Record {
	hosts := t.unsuspected(now)
	t.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	peers := make([]*Record, 0, n)
	for _, host := range hosts[:min(n, len(hosts))] {
		peers = append(peers, t.peers[host].record)
	}
	return peers
}

// randomPeer returns a random host, suspected or not; nil when there is none.
func (t *Table) randomPeer() *Record {
	if len(t.names) < 2 {
		return nil
	}
	for {
		host := t.names[t.random.IntN(len(t.names))]
		if host != t.config.Self {
			return t.peers[host].record
		}
	}
}

// refreshPartners drops suspected partners, regularly drops the oldest one, and fills the set up.
func (t *Table) refreshPartners(now clock.Time) {
	t.partners = slices.DeleteFunc(t.partners, func(host id.HostID) bool {
		return t.peers[host] == nil || t.Suspected(host, now)
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

// NoteContact records the result of a direct call from any component of this daemon to a host.
func (t *Table) NoteContact(host id.HostID, ok bool, now clock.Time) {
	p := t.peers[host]
	if p == nil {
		return
	}
	if ok {
		p.lastSuccess = now
		return
	}
	p.lastFailure = now
}

// Reachable reports whether the last direct call from this daemon succeeded; a host that was never
// called counts as reachable. It is independent of heartbeats received through others.
func (t *Table) Reachable(host id.HostID) bool {
	if host == t.config.Self {
		return true
	}
	p := t.peers[host]
	return p != nil && (p.lastFailure == never || p.lastSuccess >= p.lastFailure)
}
