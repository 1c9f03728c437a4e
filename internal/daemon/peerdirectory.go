package daemon

import (
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/gossip"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/registration"
)

// peerDirectory finds the addresses of other hosts' daemons in their membership records, or else
// in their registrations.
type peerDirectory struct {
	scheme string
	gossip *gossip.Service

	mu         sync.Mutex
	registered map[id.HostID]string
}

// addRegistrations records the addresses of registered hosts.
func (p *peerDirectory) addRegistrations(owners []registration.Owner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.registered == nil {
		p.registered = make(map[id.HostID]string)
	}
	for _, owner := range owners {
		p.registered[owner.Host] = owner.Peer
	}
}

// Address returns a host's peer address, ip:port.
func (p *peerDirectory) Address(host id.HostID) (string, bool) {
	address := ""
	p.gossip.View(func(t *membership.Table) {
		if record := t.Record(host); record != nil {
			address = record.Addresses.Control
		}
	})
	if address != "" {
		return address, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	address, ok := p.registered[host]
	return address, ok
}

// BaseURL implements grants.Peers.
func (p *peerDirectory) BaseURL(host id.HostID) (string, bool) {
	address, ok := p.Address(host)
	return p.scheme + "://" + address, ok
}

// addresses returns the registered peer addresses of all hosts except one.
func (p *peerDirectory) addresses(except id.HostID) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for host, address := range p.registered {
		if host != except {
			out = append(out, address)
		}
	}
	return out
}
