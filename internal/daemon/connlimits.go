package daemon

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/connlimit"
	"buckthornlatch.example/buckthornlatch/internal/mesh/memaccount"
)

const (
	// messageTimeout bounds the time for the body of an announcement or an operator's call.
	messageTimeout = 30 * time.Second
	// minReaderTimeout is the least time in which the reader of an answer may take nothing.
	minReaderTimeout = 30 * time.Second
)

// guard returns the guard of a server's connections.
func (d *Daemon) guard(owner memaccount.Owner) *connlimit.Guard {
	limits := connlimit.Limits{
		HeaderBytes: d.settings.Limits.MaxHeaderBytes, HeaderTimeout: d.settings.Timeouts.ReadHeader, IdleTimeout: d.settings.Timeouts.Idle,
		WriteTimeout: max(d.settings.Timeouts.Idle, minReaderTimeout),
	}
	if owner == memaccount.Targets || owner == memaccount.Operators {
		limits.BodyTimeout = messageTimeout
	}
	return connlimit.New(connlimit.Config{
		Account: d.account, Owner: owner, Clock: d.clock, Limits: func() connlimit.Limits { return limits }, Count: d.metrics.ConnRefused,
	})
}

// sampleConns copies what connections hold into gauges.
func (s *sampler) sampleConns() {
	for _, owner := range memaccount.Owners {
		held := s.daemon.account.Held(owner)
		s.set.ConnMemory[owner].Update(float64(held.Bytes))
		s.set.Conns[owner].Update(float64(held.Conns))
	}
}
