package gate

import (
	"context"
	"net"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Probe connects to a target's address once and reports ConnectFailed if that
// fails. A broken connection does not show whether the target crashed; a new
// connection attempt does, without waiting for the announcement to expire.
func (g *Gate) Probe(ctx context.Context, target id.TargetID) {
	address, service, ok := g.pool.addressOf(target)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, g.config.DialTimeout)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = connection.Close()
		return
	}
	g.deps.Health.Observe(Observation{Target: target, Service: service, Event: ConnectFailed, At: g.deps.Clock.Now()})
}

// addressOf returns the address and the service of an announced target.
func (p *pool) addressOf(target id.TargetID) (address string, service id.ServiceName, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.targets[target.Name]
	if !ok || t.id != target {
		return "", "", false
	}
	return t.address, t.service, true
}
