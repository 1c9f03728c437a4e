package daemon

import (
	"cmp"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/connlimit"
	"buckthornlatch.example/buckthornlatch/internal/mesh/memaccount"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

const (
	// headerTimeout bounds the time to receive a request's header where the operator sets no bound.
	headerTimeout = 10 * time.Second
	// idleTimeout closes idle connections where the operator sets no bound. It is longer than the longest time for which callers are
	// told that they may reuse a connection, so that no request is sent on a connection that is being closed.
	idleTimeout = 90 * time.Second
	// MaxHeaderBytes bounds the size of a request's header in bytes where the operator sets no bound, and between hosts: an attempt's header
	// is the caller's with some fields more.
	MaxHeaderBytes = 64 << 10
	// maxServerHeader bounds headers that are not bounded otherwise.
	maxServerHeader = 1 << 20
	// readerTimeout bounds the time in which the reader of an answer takes nothing, where the operator sets no idle timeout.
	readerTimeout = 30 * time.Second
	// messageTimeout bounds the time for the body of a heartbeat or a probe. Real ones are a few hundred bytes long.
	messageTimeout = 10 * time.Second
	// defaultMemory and defaultMaxFiles are those of a host whose settings name none.
	defaultMemory   = 256 << 20
	defaultMaxFiles = 4096
	// aheadShare is the part of the account's size that bounds what is read ahead on callers' connections.
	aheadShare = 0.1
)

// owners maps the servers to the owners of their connections.
var owners = map[string]memaccount.Owner{
	callersServer: memaccount.Callers, peersServer: memaccount.Peers, targetsServer: memaccount.Targets, probesServer: memaccount.Probes,
	metricsServer: memaccount.Operators,
}

// newGuard returns the guard of a server.
func (d *Daemon) newGuard(name string) *connlimit.Guard {
	limits := d.peerLimits
	switch name {
	case callersServer:
		limits = d.callerLimits
	case targetsServer, metricsServer:
		limits = d.messageLimits
	case probesServer:
		limits = d.probeLimits
	}
	return connlimit.New(connlimit.Config{
		Account: d.account, Owner: owners[name], Clock: d.clock, Limits: limits, Count: d.meters.connEnded,
	})
}

// newAccount returns the account for a host's memory and descriptors.
func newAccount(c Config) *memaccount.Account {
	return memaccount.Plan(cmp.Or(c.MemoryBytes, defaultMemory), cmp.Or(c.MaxFiles, defaultMaxFiles))
}

// callerLimits returns the operator's limits for callers.
func (d *Daemon) callerLimits() connlimit.Limits {
	var bounds policy.Bounds
	if p, _ := d.syncer.Policy(); p != nil {
		bounds = p.Bounds()
	}
	return connlimit.Limits{
		HeaderBytes: cmp.Or(bounds.HeaderBytes, MaxHeaderBytes), HeaderTimeout: cmp.Or(bounds.HeaderTimeout, headerTimeout),
		IdleTimeout: cmp.Or(bounds.IdleTimeout, idleTimeout), WriteTimeout: cmp.Or(bounds.IdleTimeout, readerTimeout),
	}
}

// probeLimits returns the limits for probes, which come from callers.
func (d *Daemon) probeLimits() connlimit.Limits {
	limits := d.callerLimits()
	limits.BodyTimeout = messageTimeout
	return limits
}

// peerLimits returns the limits for other hosts. The gate bounds the time for bodies.
func (d *Daemon) peerLimits() connlimit.Limits {
	return connlimit.Limits{HeaderBytes: MaxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: readerTimeout}
}

// messageLimits returns the limits for the own target's messages and for metrics.
func (d *Daemon) messageLimits() connlimit.Limits {
	limits := d.peerLimits()
	limits.BodyTimeout = messageTimeout
	return limits
}

// reportConns updates the metrics of the account, and logs the refusals and ended connections since the last call.
func (d *Daemon) reportConns() {
	for _, owner := range memaccount.Owners {
		d.meters.setHeld(owner, d.account.Held(owner))
	}
	for key, count := range d.meters.takeEnded() {
		d.config.Loggers.Events.Warn().Str("owner", key.owner.String()).Str("reason", string(key.reason)).Int64("count", count).
			Msg("daemon: connections refused or ended")
	}
}
