package daemon

import (
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/gossip"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/registration"
)

// peerBook finds the daemons of other hosts: by their membership records, or
// else by their registrations.
type peerBook struct {
	scheme string
	gossip *gossip.Service

	mu         sync.Mutex
	registered map[id.HostID]string
}

// learn takes over registrations.
func (p *peerBook) learn(owners []registration.Owner) {
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
func (p *peerBook) Address(host id.HostID) (string, bool) {
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
func (p *peerBook) BaseURL(host id.HostID) (string, bool) {
	address, ok := p.Address(host)
	return p.scheme + "://" + address, ok
}

// addresses returns the registered peer addresses of all hosts but one.
func (p *peerBook) addresses(except id.HostID) []string {
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
